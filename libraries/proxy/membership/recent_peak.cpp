#include "libraries/proxy/membership/recent_peak.h"

#include <algorithm>
#include <cmath>

namespace wisterialane::proxy {
namespace {

/// Longest time in which the demand of lost hosts can be missing from the measured demand: 2.5 s until a host
/// counts as silent, up to 5 s in which callers keep the addresses that they were given before, 2 s until the measured
/// load follows, and 0.5 s until it is reported.
constexpr double hold_seconds = 10;
/// With waves of 13 s and 0.55 the level stays above 0.8 of the peak.
constexpr double half_life_seconds = 5;

std::int64_t second_of(kernel::time_point now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

double decay(std::int64_t age_seconds)
{
    const double excess = static_cast<double>(age_seconds) - hold_seconds;
    return excess <= 0 ? 1 : std::exp2(-excess / half_life_seconds);
}

} // namespace

void recent_peak::record(double value, kernel::time_point now)
{
    const auto second = second_of(now);
    auto& current = peaks_[static_cast<std::size_t>(second) % peaks_.size()];
    if (current.second != second) {
        current = {second, 0};
    }
    current.value = std::max(current.value, value);
}

double recent_peak::level(kernel::time_point now) const
{
    const auto second = second_of(now);
    double greatest = 0;
    for (const auto& remembered : peaks_) {
        const auto age = second - remembered.second;
        if (age >= 0 && age < static_cast<std::int64_t>(remembered_seconds)) {
            greatest = std::max(greatest, remembered.value * decay(age));
        }
    }
    return greatest;
}

} // namespace wisterialane::proxy
