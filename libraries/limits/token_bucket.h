#pragma once

#include "kernel/clock.h"
#include "libraries/limits/loan.h"

namespace wisterialane::limits {

/// Token bucket whose capacity changes over time. It starts with no capacity and no tokens. Calls with an earlier time
/// than the last one act at the last one's time.
///
/// Tokens refill at `rate / clock_rate_margin`, so that a host with a fast clock stays within the rate as every other
/// host's clock measures it.
class token_bucket {
public:
    explicit token_bucket(kernel::time_point now) : updated_{now} {}

    /// Refills at the old rate up to `now`, then changes the capacity; tokens above the new burst are lost.
    void set_capacity(const capacity& next, kernel::time_point now);

    /// Changes the capacity without a refill for the time since the last call. For a smaller capacity that took effect
    /// in the fleet at an unknown time since then.
    void restart(const capacity& next, kernel::time_point now);

    /// Takes one token if there is one.
    [[nodiscard]] bool try_take(kernel::time_point now);

    [[nodiscard]] double tokens(kernel::time_point now) const;

    /// Time until there is one token; `duration::max()` if the capacity never holds one.
    [[nodiscard]] kernel::duration time_to_token(kernel::time_point now) const;

    [[nodiscard]] const capacity& current_capacity() const { return capacity_; }

private:
    void refill(kernel::time_point now);

    capacity capacity_;
    double tokens_ = 0;
    kernel::time_point updated_;
};

} // namespace wisterialane::limits
