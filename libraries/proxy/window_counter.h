#pragma once

#include "kernel/clock.h"

#include <array>
#include <cstdint>

namespace wisterialane::proxy {

/// Counts events of the last ten seconds, to the second.
class window_counter {
public:
    void add(kernel::time_point now)
    {
        const auto second = second_of(now);
        auto& current = slots_[static_cast<std::size_t>(second) % slots_.size()];
        if (current.second != second) {
            current = {second, 0};
        }
        ++current.count;
    }

    /// Events of the present second and of those before it, `span` in all; ten seconds at most.
    [[nodiscard]] std::uint64_t count(kernel::time_point now,
                                      std::chrono::seconds span = std::chrono::seconds{10}) const
    {
        const auto second = second_of(now);
        std::uint64_t sum = 0;
        for (const auto& item : slots_) {
            if (item.second > second - span.count() && item.second <= second) {
                sum += item.count;
            }
        }
        return sum;
    }

private:
    struct slot {
        std::int64_t second = -1;
        std::uint64_t count = 0;
    };

    static std::int64_t second_of(kernel::time_point now)
    {
        return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    }

    std::array<slot, 10> slots_;
};

} // namespace wisterialane::proxy
