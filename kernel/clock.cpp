#include "kernel/clock.h"

#include <ctime>

namespace wisterialane::kernel {

boot_clock::time_point boot_clock::now() noexcept
{
    std::timespec reading{};
    ::clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point{std::chrono::seconds{reading.tv_sec} + std::chrono::nanoseconds{reading.tv_nsec}};
}

} // namespace wisterialane::kernel
