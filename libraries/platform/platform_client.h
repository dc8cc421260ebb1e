#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/http/connection_pool.h"
#include "libraries/http/message.h"

#include <chrono>
#include <string>
#include <string_view>

namespace wisterialane::platform {

/// Sends single requests to the platform and says what a failure means for their outcome. Thread-safe.
class platform_client {
public:
    /// The timeout bounds the wait for each answer.
    platform_client(kernel::socket_address address, std::chrono::milliseconds request_timeout,
                    kernel::clock_source clock);

    /// Sends GET. A connection that fails or stays silent is retired, and the request is repeated once on a new one.
    /// Fails with `unreachable`, `timeout` or `unexpected_answer`; answers other than 200 and 404 count as the last.
    kernel::result<http::buffered_response> read(const std::string& target);

    /// Sends a write once, on a new connection, because one that has died while idle would leave the outcome unknown.
    /// Fails with `unreachable` if there was no connection, with `conflict` (412), with `unexpected_answer` for another
    /// refusal (4xx), and with `outcome_unknown` for any other answer but 2xx and when the answer is lost or late.
    kernel::result<http::buffered_response> write(const http::request_head& head, std::string_view body);

private:
    kernel::result<http::buffered_response> read_once(const http::request_head& head, http::connection_reuse reuse);

    kernel::socket_address address_;
    std::chrono::milliseconds request_timeout_;
    kernel::clock_source clock_;
    http::connection_pool pool_;
};

} // namespace wisterialane::platform
