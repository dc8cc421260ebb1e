#include "libraries/proxy/weighted_selector.h"

#include <algorithm>
#include <numeric>

namespace wisterialane::proxy {

void weighted_selector::restart(rotation& item, const traffic_route& route)
{
    item.parts = route.services;
    item.credit.clear();
    for (const auto& part : item.parts) {
        item.credit.push_back(std::uniform_real_distribution<double>{0, static_cast<double>(part.weight)}(random_));
    }
}

const kernel::service_name& weighted_selector::next(const traffic_route& route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    auto& item = rotations_[route.name];
    if (item.parts != route.services) {
        restart(item, route);
    }
    double total = 0;
    for (std::size_t index = 0; index < item.parts.size(); ++index) {
        item.credit[index] += item.parts[index].weight;
        total += item.parts[index].weight;
    }
    const auto best = std::max_element(item.credit.begin(), item.credit.end());
    *best -= total;
    return route.services[static_cast<std::size_t>(best - item.credit.begin())].service;
}

} // namespace wisterialane::proxy
