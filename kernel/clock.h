#pragma once

#include <chrono>
#include <functional>

namespace wisterialane::kernel {

/// Monotonic clock that also advances while the machine is suspended (CLOCK_BOOTTIME), so that leases and observations
/// expire during a suspension.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

/// Returns the current time; tests inject a virtual clock.
using clock_source = std::function<time_point()>;

} // namespace wisterialane::kernel
