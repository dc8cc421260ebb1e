#include "libraries/limits/demand_estimate.h"

#include "libraries/limits/capacity_arithmetic.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace wisterialane::limits {
namespace {

constexpr double short_time_seconds = 1;
constexpr double long_time_seconds = 5;

/// A host without requests for this long lets its loans end.
constexpr std::chrono::seconds demand_idle{10};

/// Covers the variation of random arrivals around their average.
constexpr double rate_headroom = 1.3;

/// A host's part of the burst is larger than its part of the rate, because bursts come to few hosts at a time.
constexpr double burst_headroom = 2;

/// The demand of a host that sees single requests, as a part of the customer's rate.
constexpr double minimum_rate_part = 1.0 / 400;
constexpr double minimum_burst = 4;

/// Yields two tokens within the 50 ms that a request waits.
constexpr double shortage_rate = 40;

double decayed(double average, double elapsed_seconds, double time_seconds)
{
    return average * std::exp(-elapsed_seconds / time_seconds);
}

double elapsed_seconds(kernel::time_point since, kernel::time_point now)
{
    return std::max(0.0, std::chrono::duration<double>{now - since}.count());
}

} // namespace

void demand_estimate::count_arrival(kernel::time_point now)
{
    const auto elapsed = elapsed_seconds(counted_, now);
    short_average_ = decayed(short_average_, elapsed, short_time_seconds) + 1 / short_time_seconds;
    long_average_ = decayed(long_average_, elapsed, long_time_seconds) + 1 / long_time_seconds;
    counted_ = std::max(counted_, now);
}

capacity demand_estimate::wanted(const capacity& limit, kernel::time_point now) const
{
    if (long_average_ <= 0 || now - counted_ > demand_idle || limit.rate_per_second <= 0) {
        return {};
    }
    const auto elapsed = elapsed_seconds(counted_, now);
    const auto rate = std::max(decayed(short_average_, elapsed, short_time_seconds),
                               decayed(long_average_, elapsed, long_time_seconds));
    const auto shortage = is_short(now) ? shortage_rate : 0;
    const auto burst_part = burst_headroom * rate / limit.rate_per_second;
    return smaller(limit, {std::max(rate * rate_headroom, limit.rate_per_second * minimum_rate_part) + shortage,
                           std::max(minimum_burst, limit.burst * burst_part)});
}

} // namespace wisterialane::limits
