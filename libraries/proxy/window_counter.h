#pragma once

#include "kernel/clock.h"

#include <array>
#include <cstdint>

namespace wisterialane::proxy {

/// Counts events, or sums amounts, over a sliding window, in intervals of one second.
class window_counter {
public:
    void add(kernel::time_point now, std::uint64_t amount = 1)
    {
        const auto second = second_of(now);
        auto& current = intervals_[static_cast<std::size_t>(second) % intervals_.size()];
        if (current.second != second) {
            current = {second, 0};
        }
        current.count += amount;
    }

    /// Longest window.
    static constexpr std::chrono::seconds maximum_span{11};

    /// Events of the last `span` seconds, including the current one, which has only begun: a window that must not be
    /// shorter than a number of seconds needs one second more. `span` is at most `maximum_span`.
    [[nodiscard]] std::uint64_t count(kernel::time_point now,
                                      std::chrono::seconds span = std::chrono::seconds{10}) const
    {
        const auto second = second_of(now);
        std::uint64_t sum = 0;
        for (const auto& interval : intervals_) {
            if (interval.second > second - span.count() && interval.second <= second) {
                sum += interval.count;
            }
        }
        return sum;
    }

private:
    struct interval_count {
        std::int64_t second = -1;
        std::uint64_t count = 0;
    };

    static std::int64_t second_of(kernel::time_point now)
    {
        return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    }

    std::array<interval_count, maximum_span.count()> intervals_;
};

} // namespace wisterialane::proxy
