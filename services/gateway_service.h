#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "kernel/service.h"
#include "kernel/service_registry.h"
#include "libraries/gateway/retry_budget.h"
#include "libraries/http/connection_pool.h"
#include "libraries/http/server.h"
#include "services/configuration_service.h"
#include "services/request_pipeline.h"
#include "services/slot_gate.h"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string_view>

namespace wisterialane::services {

struct gateway_service_settings {
    http::server_settings listen;
    kernel::instance_id instance;
    kernel::data_centre_name data_centre;
    /// How long callers may keep an answer with addresses.
    std::chrono::milliseconds address_keep{};
    /// Idle connections to upstreams are closed after this time.
    std::chrono::milliseconds upstream_idle{};
};

/// Serves callers: tells them which addresses to use and runs their requests on upstreams. Thread-safe.
class gateway_service : public kernel::service {
public:
    static constexpr std::string_view service_name = "gateway";

    /// The configuration and health services are registered already; the others are found by name at the start.
    gateway_service(gateway_service_settings settings, const kernel::service_registry& registry,
                    kernel::clock_source clock);

    [[nodiscard]] std::string_view name() const override { return service_name; }

    kernel::result<void> start() override;

    /// Refuses new requests, waits for the running ones, and closes all connections.
    void stop() override;

    /// From now on this host gives its own address to no caller and closes each connection after its current request,
    /// but still serves, because callers may keep an earlier answer for `address_keep`.
    void begin_draining();

    /// Requests that are being served.
    [[nodiscard]] std::size_t in_flight() const;

    /// Requests that wait for an upstream.
    [[nodiscard]] std::size_t waiting() const { return slots_ ? slots_->waiting() : 0; }

private:
    enum class intake { serving, draining, refusing };

    void handle(http::server_exchange& exchange);
    void dispatch(http::server_exchange& exchange);
    void answer_addresses(http::server_exchange& exchange);
    void answer_health(http::server_exchange& exchange);
    std::optional<kernel::customer_name> find_customer(std::string_view key) const;
    [[nodiscard]] std::size_t random_below(std::size_t bound);
    void follow_slots(const configuration::configuration_set& set);
    [[nodiscard]] intake current_intake() const;
    /// Counts a request in flight unless requests are refused; `leave` ends it.
    intake enter();
    void leave();

    gateway_service_settings settings_;
    const kernel::service_registry& registry_;
    kernel::clock_source clock_;
    http::connection_pool connections_;
    configuration_service* configuration_ = nullptr;
    std::optional<slot_gate> slots_;
    std::optional<pipeline_collaborators> collaborators_;

    mutable std::mutex mutex_;
    std::condition_variable idle_;
    intake intake_ = intake::serving;
    std::size_t in_flight_ = 0;
    gateway::retry_budget retries_;
    std::mt19937_64 random_{std::random_device{}()};

    std::unique_ptr<http::server> server_;
};

} // namespace wisterialane::services
