#pragma once

#include "libraries/proxy/caller_exchange.h"
#include "libraries/proxy/upstream_exchange.h"
#include "libraries/proxy/upstream_notice.h"
#include "libraries/proxy/wire_names.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisterialane::proxy {

/// Values of the headers that this host itself sets in a request to an upstream.
struct proxy_header_values {
    kernel::upstream_name upstream;
    std::chrono::milliseconds time_left{};
    /// Empty on open routes.
    kernel::customer_name customer;
};

/// Returns the request line and headers for an upstream: the caller's headers without its key, the hop-by-hop headers
/// and those that only the host may set, and then the host's own.
[[nodiscard]] std::string head_for_upstream(const http_request& request, const wire_names& names,
                                            const proxy_header_values& values);

/// Returns the headers of an upstream's response for the caller, without the hop-by-hop and framing headers.
[[nodiscard]] std::vector<std::pair<std::string, std::string>> headers_for_caller(const http_fields& headers);

/// Returns the time that a caller still waits, if its request states it in whole milliseconds.
[[nodiscard]] std::optional<std::chrono::milliseconds> read_deadline(const http_request& request,
                                                                     const wire_names& names);

/// Returns what the headers of a response say of the upstream that was started at this time. An invalid value says
/// nothing.
[[nodiscard]] upstream_notice read_notice(const http_fields& headers, const wire_names& names,
                                          std::int64_t started_at_ms);

/// Returns the time for which an upstream that has refused a request wants no further ones, at most an hour; empty if
/// the response does not say so in seconds.
[[nodiscard]] std::optional<kernel::duration> read_retry_after(const http_fields& headers);

/// Returns a hash that is equal for requests with the same customer, method, target and body.
[[nodiscard]] std::uint64_t fingerprint_of(const http_request& request, const kernel::customer_name& customer);

/// Returns the undecoded value of a parameter in a target's query, or an empty text.
[[nodiscard]] std::string_view query_parameter(std::string_view target, std::string_view name);

[[nodiscard]] std::string_view to_view(boost::beast::string_view text);

} // namespace wisterialane::proxy
