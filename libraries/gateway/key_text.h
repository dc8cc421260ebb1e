#pragma once

#include <cstddef>
#include <string>
#include <string_view>

/// Callers' keys in text: `wlk_` and 43 characters of `[A-Za-z0-9]`, so that they are recognised wherever they stand.
namespace wisterialane::gateway {

inline constexpr std::string_view key_prefix = "wlk_";
inline constexpr std::size_t key_secret_characters = 43;
inline constexpr std::size_t key_characters = 4 + key_secret_characters;

/// Position of the first key at or after `from`, or `npos`.
[[nodiscard]] std::size_t find_key(std::string_view text, std::size_t from = 0);

/// Whether the whole text is one well-formed key.
[[nodiscard]] bool is_key(std::string_view text);

/// Whether the text holds a key, plainly or behind percent-encoding, also when encoded several times.
[[nodiscard]] bool holds_key(std::string_view text);

/// Decodes `%XX` once; sequences that are not two hex digits stay as they are.
[[nodiscard]] std::string percent_decode(std::string_view text);

/// SHA-256 of a key as 64 lower-case hex digits, as the configuration stores it.
[[nodiscard]] std::string digest_of_key(std::string_view key);

/// Compares two digests in a time that does not depend on where they differ.
[[nodiscard]] bool equal_digests(std::string_view left, std::string_view right);

} // namespace wisterialane::gateway
