#include "tests/support/loopback.h"

#include <atomic>
#include <string>

#include <unistd.h>

namespace wisterialane::test_support {

kernel::socket_address loopback_address(std::uint16_t port)
{
    // Process ids have at most 22 bits; the second byte starts at 16 to stay clear of 127.0.0.1.
    const auto process = static_cast<unsigned>(::getpid());
    const auto ip = "127." + std::to_string(16 + (process >> 16U)) + "." + std::to_string((process >> 8U) & 255U) +
                    "." + std::to_string(process & 255U);
    return kernel::socket_address{ip + ":" + std::to_string(port)};
}

kernel::socket_address free_loopback_address()
{
    static std::atomic<std::uint16_t> next_port = 7000;
    return loopback_address(++next_port);
}

} // namespace wisterialane::test_support
