#pragma once

#include "libraries/proxy/caller_session.h"
#include "libraries/proxy/upstream_exchange.h"
#include "libraries/proxy/wire_names.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisterialane::proxy {

/// What the host itself says in a request to an upstream.
struct forwarding {
    kernel::upstream_name upstream;
    std::chrono::milliseconds time_left{};
    /// Empty on open routes.
    kernel::customer_name customer;
};

/// Request line and headers for an upstream: the caller's without those of its connection, its key and whatever only
/// the host may say.
[[nodiscard]] std::string head_for_upstream(const http_request& request, const wire_names& names,
                                            const forwarding& use);

/// An upstream's headers as the caller sees them: without those of its connection and framing.
[[nodiscard]] std::vector<std::pair<std::string, std::string>> headers_for_caller(const http_fields& headers);

/// The time that a caller still waits, if it says so in whole milliseconds.
[[nodiscard]] std::optional<std::chrono::milliseconds> read_deadline(const http_request& request,
                                                                     const wire_names& names);

/// Tells a request apart from others: equal for the same customer, method, target and body.
[[nodiscard]] std::uint64_t fingerprint_of(const http_request& request, const kernel::customer_name& customer);

/// The value of a parameter in a target's query as it stands there, or nothing at all.
[[nodiscard]] std::string_view query_parameter(std::string_view target, std::string_view name);

[[nodiscard]] std::string_view to_view(boost::beast::string_view text);

} // namespace wisterialane::proxy
