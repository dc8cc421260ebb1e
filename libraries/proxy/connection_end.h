#pragma once

#include <string_view>

namespace wisterialane::proxy {

/// Why the connection of a caller was closed.
enum class connection_end {
    /// The caller closed it, or it failed.
    caller_closed,
    /// The last response announced the end of the connection.
    response_sent,
    /// No request began within the idle timeout.
    idle_timeout,
    /// The head of a request was not complete in time; the caller got 408.
    header_timeout,
    /// The body of a request was not complete in time; the caller got 408.
    body_timeout,
    /// The caller did not take a response in time.
    response_timeout,
    /// The host stops, and no request was in progress.
    host_stopping,
    /// The handler of a request closed it instead of responding.
    aborted,
};

/// Name for the log and the metrics.
[[nodiscard]] std::string_view to_name(connection_end reason);

} // namespace wisterialane::proxy
