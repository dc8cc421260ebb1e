#include "libraries/proxy/membership/event_loop_delay.h"

#include <algorithm>
#include <cmath>

namespace wisterialane::proxy {
namespace {

using seconds = std::chrono::duration<double>;
using milliseconds = std::chrono::duration<double, std::milli>;

/// Long enough that one pause of less than 0.5 s makes no host late.
constexpr seconds half_life{1};
/// Time that the first sample stands for.
constexpr seconds first_interval{0.25};
/// From this delay on, two slices, a host counts with half of its processor time, and with half as much again from each
/// doubling on. A request passes the event loop two or three times.
constexpr seconds late_delay{0.2};
constexpr double minimum_usable_fraction = 0.125;

} // namespace

void event_loop_delay::record(kernel::duration late_by, kernel::time_point now)
{
    const auto sample = std::max(late_by, kernel::duration::zero());
    const bool first = updated_at_ == kernel::time_point{};
    const auto elapsed = first ? first_interval : std::max(seconds{0}, seconds{now - updated_at_});
    const double weight = 1 - std::exp2(-elapsed / half_life);
    smoothed_ += std::chrono::duration_cast<kernel::duration>(weight * seconds{sample - smoothed_});
    updated_at_ = now;
    peak_ms_.record(milliseconds{smoothed_}.count(), now);
}

kernel::duration event_loop_delay::reported(kernel::time_point now) const
{
    const milliseconds peak{peak_ms_.level(now)};
    return std::min(maximum_reported_delay, std::chrono::duration_cast<kernel::duration>(peak));
}

double usable_fraction(kernel::duration reported_delay)
{
    double fraction = 1;
    for (seconds threshold = late_delay; reported_delay >= threshold && fraction > minimum_usable_fraction;
         threshold *= 2) {
        fraction /= 2;
    }
    return fraction;
}

} // namespace wisterialane::proxy
