#include "utilities/wisterialanectl/key_secret.h"

#include "kernel/kernel_events.h"

#include <array>
#include <string_view>

#include <openssl/rand.h>

namespace wisterialane::control {
namespace {

constexpr std::string_view prefix = "wlk_";
constexpr std::size_t random_characters = 43;
constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789";
/// Bytes from here on are dropped, because they would make some characters likelier than others.
constexpr unsigned unbiased_bytes = 256 / alphabet.size() * alphabet.size();

} // namespace

kernel::result<std::string> make_key_secret()
{
    std::string secret{prefix};
    while (secret.size() < prefix.size() + random_characters) {
        std::array<unsigned char, random_characters> bytes{};
        if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
            return kernel::fail(kernel::kernel_event::random_source_failed, "OpenSSL");
        }
        for (const unsigned byte : bytes) {
            if (byte < unbiased_bytes && secret.size() < prefix.size() + random_characters) {
                secret.push_back(alphabet[byte % alphabet.size()]);
            }
        }
    }
    return secret;
}

} // namespace wisterialane::control
