#include "libraries/limits/max_min.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace wisterialane::limits {

std::vector<double> divide_max_min(double total, const std::vector<double>& demands)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&demands](std::size_t left, std::size_t right) { return demands[left] < demands[right]; });
    std::vector<double> parts(demands.size(), 0);
    auto rest = std::max(0.0, total);
    auto remaining = demands.size();
    for (const auto index : order) {
        parts[index] = std::clamp(demands[index], 0.0, rest / static_cast<double>(remaining));
        rest = std::max(0.0, rest - parts[index]);
        --remaining;
    }
    return parts;
}

} // namespace wisterialane::limits
