#include "libraries/limits/home_selector.h"

#include "libraries/limits/capacity_arithmetic.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace wisterialane::limits {

home_selector::home_selector(const std::vector<kernel::instance_id>& instances)
{
    instances_.reserve(instances.size());
    for (const auto& instance : instances) {
        instances_.push_back({instance, XXH64(instance.value().data(), instance.value().size(), 0)});
    }
}

std::size_t home_selector::home_count(double burst) const
{
    const auto by_burst = std::clamp(burst / minimum_home_burst, 1.0, static_cast<double>(maximum_homes));
    return std::min(static_cast<std::size_t>(by_burst), instances_.size());
}

std::vector<kernel::instance_id> home_selector::homes(const kernel::customer_name& customer, double burst) const
{
    using ranked = std::pair<std::uint64_t, const kernel::instance_id*>;
    std::vector<ranked> ranking;
    ranking.reserve(instances_.size());
    for (const auto& item : instances_) {
        ranking.emplace_back(XXH64(customer.value().data(), customer.value().size(), item.seed), &item.instance);
    }
    const auto count = home_count(burst);
    // Equal hashes are ordered by instance id, because every host must choose the same homes.
    std::partial_sort(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(count), ranking.end(),
                      [](const ranked& left, const ranked& right) {
                          return left.first != right.first ? left.first > right.first
                                                           : left.second->value() < right.second->value();
                      });
    std::vector<kernel::instance_id> chosen;
    chosen.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        chosen.push_back(*ranking[index].second);
    }
    return chosen;
}

capacity share_of(const kernel::instance_id& instance, const std::vector<kernel::instance_id>& homes,
                  const capacity& limit)
{
    if (std::find(homes.begin(), homes.end(), instance) == homes.end()) {
        return {};
    }
    return scaled(limit, 1.0 / static_cast<double>(homes.size()));
}

} // namespace wisterialane::limits
