#pragma once

#include "kernel/identifiers.h"
#include "libraries/http/message.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wisterialane::gateway {

/// Bytes of the body that take part in the fingerprint.
inline constexpr std::size_t fingerprinted_body_bytes = 64 * 1024;

/// Identifies a request that is sent again: customer, method, target, length and the first bytes of the body.
[[nodiscard]] std::uint64_t fingerprint_request(const kernel::customer_name& customer, const http::request_head& head,
                                                const http::body_size& size, std::string_view body_prefix);

/// The fingerprint as 16 hex digits.
[[nodiscard]] std::string to_text(std::uint64_t fingerprint);

} // namespace wisterialane::gateway
