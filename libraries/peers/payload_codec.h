#pragma once

#include "kernel/failure.h"
#include "libraries/peers/messages.h"

#include <string>

namespace wisterialane::peers {

/// A message as bytes of the protocol's `Payload`.
[[nodiscard]] std::string encode_payload(const message& body);

/// Fails with `malformed_envelope`.
kernel::result<message> decode_payload(const std::string& bytes);

} // namespace wisterialane::peers
