#include "libraries/peers/envelope_codec.h"

#include "libraries/peers/payload_codec.h"
#include "libraries/peers/peers_events.h"

#include <array>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace wisterialane::peers {
namespace {

constexpr std::size_t maximum_sender_bytes = 64;

void append_number(std::string& bytes, std::uint32_t number)
{
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        bytes.push_back(static_cast<char>((number >> shift) & 255U));
    }
}

bool equal_in_constant_time(const std::string& left, const std::string& right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

envelope_codec::envelope_codec(fleet_secret secret, kernel::instance_id self)
    : secret_{std::move(secret)}, self_{std::move(self)}
{}

kernel::result<envelope> envelope_codec::seal(const message& body) const
{
    envelope sealed{protocol_version, self_.value(), {}, encode_payload(body)};
    if (sealed.payload.size() > maximum_payload_bytes) {
        return kernel::fail(peers_event::envelope_too_large, std::to_string(sealed.payload.size()));
    }
    auto hmac = compute_hmac(sealed);
    if (!hmac) {
        return tl::unexpected{hmac.error()};
    }
    sealed.hmac = std::move(*hmac);
    return sealed;
}

kernel::result<opened_message> envelope_codec::open(const envelope& sealed) const
{
    if (sealed.payload.size() > maximum_payload_bytes) {
        return kernel::fail(peers_event::envelope_too_large, std::to_string(sealed.payload.size()));
    }
    if (sealed.version != protocol_version) {
        return kernel::fail(peers_event::unknown_protocol_version, std::to_string(sealed.version));
    }
    if (sealed.sender.empty() || sealed.sender.size() > maximum_sender_bytes) {
        return kernel::fail(peers_event::malformed_envelope, "sender");
    }
    const auto hmac = compute_hmac(sealed);
    if (!hmac) {
        return tl::unexpected{hmac.error()};
    }
    if (!equal_in_constant_time(*hmac, sealed.hmac)) {
        return kernel::fail(peers_event::wrong_hmac, sealed.sender);
    }
    auto body = decode_payload(sealed.payload);
    if (!body) {
        return tl::unexpected{body.error()};
    }
    return opened_message{kernel::instance_id{sealed.sender}, std::move(*body)};
}

kernel::result<std::string> envelope_codec::compute_hmac(const envelope& sealed) const
{
    // The length of the sender is part of the input, so that no byte can move between sender and payload.
    std::string input;
    input.reserve(8 + sealed.sender.size() + sealed.payload.size());
    append_number(input, sealed.version);
    append_number(input, static_cast<std::uint32_t>(sealed.sender.size()));
    input += sealed.sender;
    input += sealed.payload;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    const auto* made = HMAC(EVP_sha256(), secret_.value().data(), static_cast<int>(secret_.value().size()),
                            reinterpret_cast<const unsigned char*>(input.data()), input.size(), digest.data(), &length);
    if (made == nullptr) {
        return kernel::fail(peers_event::hmac_failed);
    }
    return std::string{reinterpret_cast<const char*>(digest.data()), length};
}

} // namespace wisterialane::peers
