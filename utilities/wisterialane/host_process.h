#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "kernel/service_registry.h"
#include "libraries/platform/http_platform.h"
#include "libraries/settings/host_settings.h"

#include <chrono>
#include <functional>
#include <memory>

namespace wisterialane {

/// Owns the services of one host and connects them.
class host_process {
public:
    /// Builds the services without starting them.
    static kernel::result<std::unique_ptr<host_process>> create(const settings::host_settings& settings);

    host_process(const host_process&) = delete;
    host_process& operator=(const host_process&) = delete;
    ~host_process() = default;

    kernel::result<void> start();

    /// Waits until the platform has responded or a peer has sent a configuration. Returns false if neither happens
    /// before the start timeout; `stop_requested` ends the wait early, and the result is then true.
    [[nodiscard]] bool wait_for_configuration(const std::function<bool()>& stop_requested) const;

    /// Continues to serve while callers may still use this host's address, then ends running requests and stops all
    /// services.
    void drain_and_stop();

    /// Ends running requests and stops all services.
    void stop();

private:
    explicit host_process(settings::host_settings settings, std::unique_ptr<platform::http_platform> platform);

    kernel::result<void> add_services();
    kernel::result<void> add_configuration_services();
    kernel::result<void> add_request_services();
    kernel::result<void> add_operator_service();
    void connect_peers();
    void connect_draining_upstreams();
    void add_gauges();

    settings::host_settings settings_;
    kernel::clock_source clock_;
    kernel::instance_id instance_;
    std::unique_ptr<platform::http_platform> platform_;
    kernel::service_registry registry_;
};

} // namespace wisterialane
