#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/gateway/request_body.h"
#include "libraries/http/client_connection.h"
#include "libraries/http/connection_pool.h"
#include "libraries/http/message.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace wisterialane::gateway {

/// How one attempt to run a request on an upstream ended.
enum class attempt_end {
    /// The head of the answer is there and belongs to this request.
    answered,
    /// No connection; nothing was sent.
    connect_refused,
    /// No connection within the time; nothing was sent.
    connect_timeout,
    /// The upstream says that it did not run the request.
    shed,
    /// A connection that had been idle turned out to be dead or silent. It says nothing about the upstream.
    stale_connection,
    /// The upstream closed the connection without an answer.
    closed_without_answer,
    /// No answer within the time.
    response_timeout,
    /// The answer cannot be read, or its length cannot be checked.
    unusable_answer,
    /// The answer belongs to another request.
    crossed_answer,
    /// The caller stopped sending its body or sent too much; the upstream got a part of the request.
    caller_failed,
};

/// Whether the upstream must return the exchange header.
enum class echo_policy { required, optional };

/// Name for metrics and logs.
[[nodiscard]] std::string_view to_name(attempt_end end);

/// Whether any byte of the request may have reached the upstream.
[[nodiscard]] bool may_have_run(attempt_end end);

struct attempt_settings {
    kernel::socket_address address;
    http::connection_reuse reuse = http::connection_reuse::allowed;
    std::chrono::milliseconds response_timeout{};
    /// The value of the exchange header, which the answer returns.
    std::string exchange_nonce;
    /// Whether an answer without the exchange header counts as crossed.
    echo_policy echo = echo_policy::optional;
    /// Called when the whole request has been sent.
    std::function<void()> on_sent;
};

struct attempt_result {
    attempt_end end = attempt_end::connect_refused;
    /// Set for `answered`: the body follows on the connection.
    http::response_head head;
    std::unique_ptr<http::client_connection> connection;
    /// Set when the upstream announced that it is draining.
    bool draining = false;
};

/// Sends the request to one upstream and waits for the head of the answer.
attempt_result run_attempt(http::connection_pool& pool, const attempt_settings& settings,
                           const http::request_head& head, request_body& body);

} // namespace wisterialane::gateway
