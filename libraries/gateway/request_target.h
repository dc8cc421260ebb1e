#pragma once

#include "kernel/failure.h"

#include <optional>
#include <string>
#include <string_view>

namespace wisterialane::gateway {

/// The parts of a request's target.
struct request_target {
    /// The path with percent-encoded unreserved characters decoded (RFC 3986, section 6.2.2.2): what routes are matched
    /// against.
    std::string normalized_path;
    /// The path as received.
    std::string path;
    /// The query as received, without `?`; empty if there is none.
    std::string query;
};

/// Splits and checks a target. Fails with `malformed_target` where an upstream could read the path as that of another
/// route (dot segments, empty segments, encoded slashes, backslashes, control characters, absolute form), and with
/// `key_in_path`.
kernel::result<request_target> parse_request_target(std::string_view target);

/// The decoded value of the first query parameter of this name.
[[nodiscard]] std::optional<std::string> query_parameter(std::string_view query, std::string_view name);

/// The query without the parameters that hold a key.
[[nodiscard]] std::string query_without_keys(std::string_view query);

} // namespace wisterialane::gateway
