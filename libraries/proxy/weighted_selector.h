#pragma once

#include "kernel/identifiers.h"
#include "libraries/proxy/traffic_configuration.h"

#include <map>
#include <random>
#include <vector>

namespace wisterialane::proxy {

/// Distributes the requests of a route among its services in proportion to their weights. Uses smooth weighted round
/// robin with a random start, so that any run of consecutive requests is distributed by weight and each host has its
/// own order.
class weighted_selector {
public:
    explicit weighted_selector(std::uint64_t seed) : random_{seed} {}

    /// The service for the next request. `route.services` is not empty, and a weight is positive.
    [[nodiscard]] const kernel::service_name& next(const traffic_route& route);

private:
    struct route_rotation {
        std::vector<weighted_service> services;
        /// Shares of the requests; they add up to 1.
        std::vector<double> shares;
        std::vector<double> credits;
    };

    void reset(route_rotation& rotation, const traffic_route& route);

    std::map<kernel::route_name, route_rotation> rotations_;
    std::mt19937_64 random_;
};

} // namespace wisterialane::proxy
