#include "libraries/encoding/percent_encoding.h"

#include <charconv>

namespace wisterialane::encoding {
namespace {

constexpr std::string_view plain_characters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_~";

} // namespace

std::string percent_encode(std::string_view text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        if (plain_characters.find(character) != std::string_view::npos) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += {'%', digits[byte >> 4U], digits[byte & 15U]};
    }
    return encoded;
}

std::optional<std::string> percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (text[position] != '%') {
            decoded += text[position];
            continue;
        }
        if (text.size() - position < 3) {
            return std::nullopt;
        }
        unsigned byte = 0;
        const char* first = text.data() + position + 1;
        const auto [end, error] = std::from_chars(first, first + 2, byte, 16);
        if (error != std::errc{} || end != first + 2) {
            return std::nullopt;
        }
        decoded += static_cast<char>(byte);
        position += 2;
    }
    return decoded;
}

} // namespace wisterialane::encoding
