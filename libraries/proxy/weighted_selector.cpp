#include "libraries/proxy/weighted_selector.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace wisterialane::proxy {
namespace {

// Weights are divided by the greatest one first, because the sum of great weights may not be finite.
std::vector<double> shares_of(const std::vector<weighted_service>& services)
{
    double greatest = 0;
    for (const auto& weighted : services) {
        greatest = std::max(greatest, weighted.weight);
    }
    std::vector<double> shares;
    shares.reserve(services.size());
    for (const auto& weighted : services) {
        shares.push_back(weighted.weight / greatest);
    }
    const auto total = std::accumulate(shares.begin(), shares.end(), 0.0);
    for (auto& share : shares) {
        share /= total;
    }
    return shares;
}

} // namespace

void weighted_selector::reset(route_rotation& rotation, const traffic_route& route)
{
    rotation.services = route.services;
    rotation.shares = shares_of(route.services);
    rotation.credits.clear();
    for (const auto share : rotation.shares) {
        rotation.credits.push_back(std::uniform_real_distribution<double>{0, share}(random_));
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
    std::transform(rotation.credits.begin(), rotation.credits.end(), rotation.shares.begin(), rotation.credits.begin(),
                   std::plus{});
    const auto best = std::max_element(rotation.credits.begin(), rotation.credits.end());
    *best -= 1;
    return route.services[static_cast<std::size_t>(best - rotation.credits.begin())].service;
}

} // namespace wisterialane::proxy
