#pragma once

#include "kernel/clock.h"

#include <array>
#include <cstdint>

namespace wisterialane::proxy {

/// Remembers the highest recent value of a measurement: whole for 10 s, then halved every 5 s.
///
/// It serves for the demand of a data centre. When the hosts that carried a data centre's requests fall silent, the
/// measured demand drops to that of the other hosts and rises again only when the callers have come back to them.
/// Demand that rises and falls in waves of a few seconds rises faster than more hosts can be named. In both cases the
/// hosts for the remembered demand are named. It also serves for the delay of an event loop: a host that is late gets
/// fewer callers, and would get them all back at once when it no longer is.
class recent_peak {
public:
    void record(double value, kernel::time_point now);

    [[nodiscard]] double level(kernel::time_point now) const;

private:
    /// After this many seconds, a recorded value counts a sixteenth.
    static constexpr std::size_t remembered_seconds = 30;

    /// The greatest value of one second.
    struct peak {
        std::int64_t second = 0;
        double value = 0;
    };

    std::array<peak, remembered_seconds> peaks_;
};

} // namespace wisterialane::proxy
