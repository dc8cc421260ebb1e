#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "kernel/strong_type.h"
#include "libraries/peers/messages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wisterialane::peers {

/// Shared by all hosts of a fleet; never logged.
using fleet_secret = kernel::strong_type<struct fleet_secret_tag, std::string>;

inline constexpr std::uint32_t protocol_version = 1;
inline constexpr std::size_t maximum_payload_bytes = 4U * 1024U * 1024U;

/// What travels in one direction of a call.
struct envelope {
    std::uint32_t version = protocol_version;
    std::string sender;
    /// HMAC-SHA-256 over protocol version, sender and payload with the fleet secret.
    std::string hmac;
    std::string payload;
};

struct opened_message {
    kernel::instance_id sender;
    message body;
};

/// Puts messages into envelopes and takes them out. Immutable, hence thread-safe.
class envelope_codec {
public:
    envelope_codec(fleet_secret secret, kernel::instance_id self);

    /// Fails with `envelope_too_large`, or with `hmac_failed` if OpenSSL cannot compute the HMAC.
    [[nodiscard]] kernel::result<envelope> seal(const message& body) const;

    /// Fails with `envelope_too_large`, `unknown_protocol_version`, `wrong_hmac` or `malformed_envelope`, checked in
    /// this order, so that no payload of a stranger is parsed.
    [[nodiscard]] kernel::result<opened_message> open(const envelope& sealed) const;

private:
    [[nodiscard]] kernel::result<std::string> compute_hmac(const envelope& sealed) const;

    fleet_secret secret_;
    kernel::instance_id self_;
};

} // namespace wisterialane::peers
