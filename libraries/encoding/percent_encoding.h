#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wisterialane::encoding {

/// Encodes text as one path segment or query value (RFC 3986). Everything but letters, digits, `-`, `_` and `~` is
/// encoded; the dot too, because a segment of dots only would be removed as a relative one.
[[nodiscard]] std::string percent_encode(std::string_view text);

/// Decodes text; nothing if an escape is incomplete.
[[nodiscard]] std::optional<std::string> percent_decode(std::string_view text);

} // namespace wisterialane::encoding
