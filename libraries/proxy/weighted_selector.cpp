#include "libraries/proxy/weighted_selector.h"

#include <algorithm>
#include <numeric>

namespace wisterialane::proxy {

void weighted_selector::reset(route_rotation& rotation, const traffic_route& route)
{
    rotation.services = route.services;
    rotation.credits.clear();
    for (const auto& service : rotation.services) {
        rotation.credits.push_back(
            std::uniform_real_distribution<double>{0, static_cast<double>(service.weight)}(random_));
    }
}

const kernel::service_name& weighted_selector::next(const traffic_route& route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    auto& rotation = rotations_[route.name];
    if (rotation.services != route.services) {
        reset(rotation, route);
    }
    double total = 0;
    for (std::size_t index = 0; index < rotation.services.size(); ++index) {
        rotation.credits[index] += rotation.services[index].weight;
        total += rotation.services[index].weight;
    }
    const auto best = std::max_element(rotation.credits.begin(), rotation.credits.end());
    *best -= total;
    return route.services[static_cast<std::size_t>(best - rotation.credits.begin())].service;
}

} // namespace wisterialane::proxy
