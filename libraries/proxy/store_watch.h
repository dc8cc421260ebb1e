#pragma once

#include "kernel/decision_log.h"
#include "libraries/proxy/control_source.h"
#include "libraries/proxy/network.h"
#include "libraries/proxy/proxy_metrics.h"
#include "libraries/proxy/store_clock.h"
#include "libraries/proxy/upstream_directory.h"

#include <functional>
#include <memory>
#include <optional>

namespace wisterialane::proxy {

/// Follows the store: waits for new versions of the configuration and reads what changes among the upstreams.
class store_watch : public std::enable_shared_from_this<store_watch> {
public:
    struct hooks {
        /// A version was read. Returns whether it, or a newer one, is in force now.
        std::function<bool(traffic_configuration)> apply;
        kernel::clock_source clock;
    };

    store_watch(io_context& context, control_source& source, upstream_directory& upstreams, freshness& confirmed,
                proxy_metrics& metrics, kernel::decision_log& log, hooks use);

    void start();
    void stop();

    /// Whether the upstreams were read at least once.
    [[nodiscard]] bool has_upstreams() const { return upstreams_revision_.has_value(); }

private:
    void watch_configuration();
    void on_configuration(const kernel::result<configuration_reading>& reading);
    void poll_upstreams();
    void on_upstreams(const kernel::result<upstreams_reading>& reading, bool complete);
    void note_success(const store_reading& at);
    void note_failure(const kernel::failure& reason);
    void wait(timer& pause, std::chrono::milliseconds time, void (store_watch::*next)());

    control_source& source_;
    upstream_directory& upstreams_;
    freshness& confirmed_;
    proxy_metrics& metrics_;
    kernel::decision_log& log_;
    hooks use_;
    store_clock clock_;
    timer configuration_pause_;
    timer upstreams_pause_;
    std::optional<store_revision> configuration_revision_;
    std::optional<store_revision> upstreams_revision_;
    std::optional<kernel::time_point> failing_since_;
    bool stopped_ = false;
};

} // namespace wisterialane::proxy
