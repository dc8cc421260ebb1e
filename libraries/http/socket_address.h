#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"

#include <cstdint>
#include <string>

namespace wisterialane::http {

struct parsed_socket_address {
    std::string ip;
    std::uint16_t port = 0;
};

/// Splits `ip:port`. Fails with `invalid_address` unless the IP is an IPv4 address in numbers.
/// FIXME: IPv6 addresses are not supported yet.
kernel::result<parsed_socket_address> parse_socket_address(const kernel::socket_address& address);

} // namespace wisterialane::http
