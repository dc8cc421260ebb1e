#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/http/server.h"
#include "tests/stand_ins/platform/operation_counts.h"
#include "tests/stand_ins/platform/platform_api.h"
#include "tests/stand_ins/platform/platform_settings.h"
#include "tests/stand_ins/platform/platform_state.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace wisterialane::stand_ins {

/// The platform over HTTP, with faults and a control interface below `/control/` (docs/PLATFORM.md). Thread-safe.
class platform_server {
public:
    /// Port 0 takes a free one. Fails as `http::server::create` does.
    static kernel::result<std::unique_ptr<platform_server>> create(const kernel::socket_address& address,
                                                                   kernel::clock_source clock);

    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;
    ~platform_server();

    [[nodiscard]] const kernel::socket_address& address() const { return server_->address(); }

    [[nodiscard]] platform_settings settings() const;
    void set_settings(const platform_settings& settings);

    /// Runs `change` on the stored state.
    void with_state(const std::function<void(platform_state&, kernel::time_point now)>& change);

    [[nodiscard]] operation_counts counts() const;

private:
    explicit platform_server(kernel::clock_source clock) : clock_{std::move(clock)} {}

    void handle(http::server_exchange& exchange);
    /// Nothing when the answer is lost.
    std::optional<http::buffered_response> run(const http::request_head& head, const std::string& body);
    http::buffered_response control(const http::request_head& head, const std::string& body);
    http::buffered_response control_settings(const http::request_head& head, const std::string& body);
    http::buffered_response control_upstream(const http::request_head& head, const std::string& name,
                                             const std::string& body);

    kernel::clock_source clock_;
    mutable std::mutex mutex_;
    std::condition_variable stopping_changed_;
    bool stopping_ = false;
    platform_state state_;
    platform_api api_{state_};
    platform_settings settings_;
    operation_counts counts_;
    // Last, because its threads use the other members.
    std::unique_ptr<http::server> server_;
};

} // namespace wisterialane::stand_ins
