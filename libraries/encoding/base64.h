#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wisterialane::encoding {

/// Base64 with padding and without line breaks (RFC 4648, section 4).
[[nodiscard]] std::string encode_base64(std::string_view bytes);

/// Nothing if the text is not base64.
[[nodiscard]] std::optional<std::string> decode_base64(std::string_view text);

} // namespace wisterialane::encoding
