#pragma once

#include "libraries/peers/envelope_codec.h"

#include <utility>

#include <peer.pb.h>

/// Conversion to the generated envelope; for the sources of this package only, because it needs protobuf's headers.
namespace wisterialane::peers::detail {

inline wire::Envelope to_wire(envelope from)
{
    wire::Envelope to;
    to.set_protocol_version(from.version);
    to.set_sender(std::move(from.sender));
    to.set_hmac(std::move(from.hmac));
    to.set_payload(std::move(from.payload));
    return to;
}

inline envelope from_wire(wire::Envelope from)
{
    envelope to;
    to.version = from.protocol_version();
    to.sender = std::move(*from.mutable_sender());
    to.hmac = std::move(*from.mutable_hmac());
    to.payload = std::move(*from.mutable_payload());
    return to;
}

} // namespace wisterialane::peers::detail
