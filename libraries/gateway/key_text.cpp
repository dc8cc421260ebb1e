#include "libraries/gateway/key_text.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace wisterialane::gateway {
namespace {

// A value that is still encoded after this many rounds is taken to hold no key.
constexpr int maximum_decoding_rounds = 4;

bool is_key_character(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'A' && character <= 'Z') ||
           (character >= 'a' && character <= 'z');
}

} // namespace

std::size_t find_key(std::string_view text, std::size_t from)
{
    for (auto position = text.find(key_prefix, from); position != std::string_view::npos;
         position = text.find(key_prefix, position + 1)) {
        const auto secret = text.substr(position + key_prefix.size(), key_secret_characters);
        if (secret.size() == key_secret_characters && std::all_of(secret.begin(), secret.end(), is_key_character)) {
            return position;
        }
    }
    return std::string_view::npos;
}

bool is_key(std::string_view text)
{
    return text.size() == key_characters && find_key(text) == 0;
}

bool holds_key(std::string_view text)
{
    std::string decoded{text};
    for (int round = 0; round < maximum_decoding_rounds; ++round) {
        if (find_key(decoded) != std::string::npos) {
            return true;
        }
        auto next = percent_decode(decoded);
        if (next == decoded) {
            return false;
        }
        decoded = std::move(next);
    }
    return false;
}

std::string percent_decode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned value = 0;
        const char* digits = text.data() + index + 1;
        const bool complete = text[index] == '%' && index + 2 < text.size() &&
                              std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2;
        if (complete) {
            decoded.push_back(static_cast<char>(value));
            index += 2;
        }
        else {
            decoded.push_back(text[index]);
        }
    }
    return decoded;
}

std::string digest_of_key(std::string_view key)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
    std::string text;
    for (const unsigned char byte : digest) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 15U]);
    }
    return text;
}

bool equal_digests(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace wisterialane::gateway
