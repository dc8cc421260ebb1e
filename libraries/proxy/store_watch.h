#pragma once

#include "kernel/decision_log.h"
#include "libraries/proxy/network.h"
#include "libraries/proxy/proxy_metrics.h"
#include "libraries/proxy/store_client.h"
#include "libraries/proxy/store_clock.h"
#include "libraries/proxy/store_relay.h"
#include "libraries/proxy/upstream_directory.h"

#include <functional>
#include <memory>
#include <optional>

namespace wisterialane::proxy {

/// The pause after each of several failures in a row.
class retry_backoff {
public:
    [[nodiscard]] std::chrono::milliseconds next(kernel::time_point now);

    /// Whether the pause after the last failure still lasts.
    [[nodiscard]] bool is_pausing(kernel::time_point now) const { return now < until_; }

    void reset() { pause_ = std::chrono::milliseconds{0}; }

private:
    std::chrono::milliseconds pause_{0};
    kernel::time_point until_{};
};

/// Follows the store: waits for new versions of the configuration and for changes among the upstreams.
///
/// Calls to the store cost, so in each data centre one host reads and relays what it reads to the others. A host that
/// hears no relay for a while reads by itself.
class store_watch : public std::enable_shared_from_this<store_watch> {
public:
    struct hooks {
        /// A version was read. Returns whether it, or a newer one, is in force now.
        std::function<bool(traffic_configuration)> apply;
        /// The version in force; 0 before the first.
        std::function<kernel::version_number()> version;
        /// Whether this host reads for its data centre.
        std::function<bool(kernel::time_point now)> is_store_reader;
        /// Something was read; sent on if this host is the reader.
        std::function<void(store_relay)> relay;
        kernel::clock_source clock;
    };

    store_watch(io_context& context, store_client& source, upstream_directory& upstreams,
                configuration_freshness& confirmed, proxy_metrics& metrics, kernel::decision_log& log, hooks use);

    void start();
    void stop();

    /// The reader of the data centre has read something.
    void on_relay(const store_relay& relay);

    /// This host is the reader of its data centre from now on.
    void begin_reading();

    /// How much longer this host waits for the reader before it reads by itself; zero if it reads already.
    [[nodiscard]] kernel::duration remaining_relay_wait(kernel::time_point now) const;

    /// Whether the last call to the store succeeded, and not long ago.
    [[nodiscard]] bool reaches_store(kernel::time_point now) const;

    /// Whether the upstreams were read at least once.
    [[nodiscard]] bool has_upstreams() const { return upstreams_revision_.has_value(); }

private:
    void watch_configuration();
    void on_configuration(const kernel::result<configuration_reading>& reading);
    void watch_upstreams();
    void on_upstreams(const kernel::result<upstreams_reading>& reading, bool complete);
    void relay_changes(store_revision after, std::vector<upstream_record> present,
                       std::vector<kernel::upstream_name> removed);
    void apply_changes(const std::vector<upstream_record>& present, const std::vector<kernel::upstream_name>& removed,
                       kernel::time_point now);
    void note_success(const answer_metadata& at);
    void note_failure(const kernel::failure& reason);
    void wait(timer& pause, std::chrono::milliseconds time, void (store_watch::*next)());

    store_client& source_;
    upstream_directory& upstreams_;
    configuration_freshness& confirmed_;
    proxy_metrics& metrics_;
    kernel::decision_log& log_;
    hooks use_;
    store_clock clock_;
    timer configuration_pause_;
    timer upstreams_pause_;
    retry_backoff configuration_retry_;
    retry_backoff upstreams_retry_;
    std::optional<store_revision> configuration_revision_;
    std::optional<store_revision> upstreams_revision_;
    std::optional<kernel::time_point> failing_since_;
    std::optional<kernel::time_point> answered_at_;
    std::optional<kernel::time_point> relay_heard_at_;
    store_time confirmed_read_{};
    bool reading_configuration_ = false;
    bool reading_upstreams_ = false;
    bool stopped_ = false;
};

} // namespace wisterialane::proxy
