#include "libraries/configuration/digest.h"

#include <algorithm>
#include <array>

#include <openssl/sha.h>

namespace wisterialane::configuration {

std::string sha256_hex(std::string_view bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
    std::string text;
    text.reserve(2 * digest.size());
    for (const unsigned byte : digest) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 15U]);
    }
    return text;
}

bool is_sha256_hex(std::string_view text)
{
    return text.size() == 2 * SHA256_DIGEST_LENGTH && std::all_of(text.begin(), text.end(), [](char character) {
               return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
           });
}

} // namespace wisterialane::configuration
