#include "libraries/gateway/request_fingerprint.h"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace wisterialane::gateway {
namespace {

// The length goes in front, so that bytes cannot move between two neighbouring parts unnoticed.
std::uint64_t hash_part(std::string_view part, std::uint64_t seed)
{
    const auto size = part.size();
    return XXH64(part.data(), size, XXH64(&size, sizeof size, seed));
}

} // namespace

std::uint64_t fingerprint_request(const kernel::customer_name& customer, const http::request_head& head,
                                  const http::body_size& size, std::string_view body_prefix)
{
    std::uint64_t hash = hash_part(customer.value(), 0);
    hash = hash_part(head.method, hash);
    hash = hash_part(head.target, hash);
    hash = hash_part(std::to_string(size.length), hash);
    return hash_part(body_prefix.substr(0, fingerprinted_body_bytes), hash);
}

std::string to_text(std::uint64_t fingerprint)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(fingerprint));
    return text.data();
}

} // namespace wisterialane::gateway
