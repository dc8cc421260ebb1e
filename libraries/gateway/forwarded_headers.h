#pragma once

#include "kernel/failure.h"
#include "libraries/http/header_list.h"

#include <optional>
#include <string>
#include <string_view>

namespace wisterialane::gateway {

/// Header names of the caller and upstream interfaces (docs/design.md, section 4).
inline constexpr std::string_view own_header_prefix = "Wisterialane-";
inline constexpr std::string_view key_header = "Wisterialane-Key";
inline constexpr std::string_view deadline_header = "Wisterialane-Deadline-Ms";
inline constexpr std::string_view customer_header = "Wisterialane-Customer";
inline constexpr std::string_view exchange_header = "Wisterialane-Exchange";
inline constexpr std::string_view shed_header = "Wisterialane-Shed";
inline constexpr std::string_view draining_header = "Wisterialane-Draining";
inline constexpr std::string_view replayed_header = "Wisterialane-Replayed";
inline constexpr std::string_view ran_header = "Wisterialane-Ran";
inline constexpr std::string_view idempotency_key_header = "Idempotency-Key";

/// The key that a request presents, or nothing. Fails with `conflicting_keys` when it presents two different ones, so
/// that caller and host can never disagree which customer a request runs for.
kernel::result<std::optional<std::string>> presented_key(const http::header_list& headers);

/// The caller's headers as an upstream may see them: without hop-by-hop headers, without this system's own headers,
/// which a caller could forge, and without any value that holds a key. Of a Cookie header only the cookies with a key
/// are dropped.
[[nodiscard]] http::header_list request_headers_for_upstream(const http::header_list& headers);

/// An upstream's headers as a caller may see them: without hop-by-hop headers and this system's own headers.
[[nodiscard]] http::header_list response_headers_for_caller(const http::header_list& headers);

} // namespace wisterialane::gateway
