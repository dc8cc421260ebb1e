#pragma once

#include <string>
#include <string_view>

namespace wisterialane::configuration {

/// SHA-256 of the bytes as 64 lower-case hex digits.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

/// Whether the text is 64 lower-case hex digits.
[[nodiscard]] bool is_sha256_hex(std::string_view text);

} // namespace wisterialane::configuration
