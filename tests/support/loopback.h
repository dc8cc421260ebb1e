#pragma once

#include "kernel/identifiers.h"

#include <cstdint>

namespace wisterialane::test_support {

/// An address on a loopback IP that belongs to this process, so that tests that run side by side never share a port and
/// servers can be given fixed ports before they start.
[[nodiscard]] kernel::socket_address loopback_address(std::uint16_t port);

/// A loopback address that no other caller in this process gets, and no other process.
[[nodiscard]] kernel::socket_address free_loopback_address();

} // namespace wisterialane::test_support
