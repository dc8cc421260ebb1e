#include "libraries/encoding/base64.h"

#include <algorithm>

#include <openssl/evp.h>

namespace wisterialane::encoding {
namespace {

unsigned char* writable(std::string& text)
{
    return reinterpret_cast<unsigned char*>(text.data());
}

const unsigned char* readable(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

std::string encode_base64(std::string_view bytes)
{
    // One more byte, because OpenSSL ends its output with a zero.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    text.resize(
        static_cast<std::size_t>(EVP_EncodeBlock(writable(text), readable(bytes), static_cast<int>(bytes.size()))));
    return text;
}

std::optional<std::string> decode_base64(std::string_view text)
{
    if (text.empty()) {
        return std::string{};
    }
    const auto data_end = text.find_last_not_of('=');
    const auto padding = data_end == std::string_view::npos ? text.size() : text.size() - data_end - 1;
    std::string bytes(text.size() / 4 * 3, '\0');
    const bool has_whole_groups = text.size() % 4 == 0 && padding <= 2 && text.find('=') >= text.size() - padding;
    if (!has_whole_groups || EVP_DecodeBlock(writable(bytes), readable(text), static_cast<int>(text.size())) !=
                                 static_cast<int>(bytes.size())) {
        return std::nullopt;
    }
    // OpenSSL decodes the padding as zeros.
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace wisterialane::encoding
