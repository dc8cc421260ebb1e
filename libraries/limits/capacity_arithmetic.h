#pragma once

#include "libraries/limits/loan.h"

#include <algorithm>
#include <cmath>

/// Arithmetic on rate and burst together. Each function treats the two components separately.
namespace wisterialane::limits {

[[nodiscard]] inline capacity smaller(const capacity& left, const capacity& right)
{
    return {std::min(left.rate_per_second, right.rate_per_second), std::min(left.burst, right.burst)};
}

[[nodiscard]] inline capacity larger(const capacity& left, const capacity& right)
{
    return {std::max(left.rate_per_second, right.rate_per_second), std::max(left.burst, right.burst)};
}

[[nodiscard]] inline capacity sum(const capacity& left, const capacity& right)
{
    return {left.rate_per_second + right.rate_per_second, left.burst + right.burst};
}

/// `left` less `right`, never below zero.
[[nodiscard]] inline capacity remainder(const capacity& left, const capacity& right)
{
    return {std::max(0.0, left.rate_per_second - right.rate_per_second), std::max(0.0, left.burst - right.burst)};
}

[[nodiscard]] inline capacity scaled(const capacity& item, double factor)
{
    return {item.rate_per_second * factor, item.burst * factor};
}

[[nodiscard]] inline bool is_zero(const capacity& item)
{
    return item.rate_per_second <= 0 && item.burst <= 0;
}

/// Whether both components are numbers of at least zero. Values from other hosts are checked before use.
[[nodiscard]] inline bool is_valid(const capacity& item)
{
    return std::isfinite(item.rate_per_second) && std::isfinite(item.burst) && item.rate_per_second >= 0 &&
           item.burst >= 0;
}

} // namespace wisterialane::limits
