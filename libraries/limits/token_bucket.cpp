#include "libraries/limits/token_bucket.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace wisterialane::limits {
namespace {

using seconds = std::chrono::duration<double>;

double refill_rate(const capacity& item)
{
    return item.rate_per_second / clock_rate_margin;
}

/// Bounds a computed waiting time, because a double above the range of nanoseconds must not be converted.
constexpr double maximum_wait_seconds = 3600;

} // namespace

void token_bucket::set_capacity(const capacity& next, kernel::time_point now)
{
    refill(now);
    capacity_ = next;
    tokens_ = std::min(tokens_, capacity_.burst);
}

void token_bucket::restart(const capacity& next, kernel::time_point now)
{
    updated_ = std::max(updated_, now);
    set_capacity(next, now);
}

bool token_bucket::try_take(kernel::time_point now)
{
    refill(now);
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

double token_bucket::tokens(kernel::time_point now) const
{
    const auto elapsed = std::max(seconds{0}, seconds{now - updated_});
    return std::min(capacity_.burst, tokens_ + elapsed.count() * refill_rate(capacity_));
}

kernel::duration token_bucket::time_to_token(kernel::time_point now) const
{
    const auto missing = 1 - tokens(now);
    if (missing <= 0) {
        return kernel::duration::zero();
    }
    if (capacity_.burst < 1 || capacity_.rate_per_second <= 0) {
        return kernel::duration::max();
    }
    const auto wait = std::min(maximum_wait_seconds, missing / refill_rate(capacity_));
    return std::chrono::ceil<std::chrono::microseconds>(seconds{wait});
}

void token_bucket::refill(kernel::time_point now)
{
    tokens_ = tokens(now);
    updated_ = std::max(updated_, now);
}

} // namespace wisterialane::limits
