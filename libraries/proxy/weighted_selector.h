#pragma once

#include "kernel/identifiers.h"
#include "libraries/proxy/traffic_configuration.h"

#include <map>
#include <random>
#include <vector>

namespace wisterialane::proxy {

/// Distributes the requests of a route among its services in the proportion of their weights. Smooth weighted round
/// robin from a random start, so that every stretch of requests has about the right shares and hosts do not agree on
/// the order.
class weighted_selector {
public:
    explicit weighted_selector(std::uint64_t seed) : random_{seed} {}

    /// The service for the next request. `route.services` is not empty.
    [[nodiscard]] const kernel::service_name& next(const traffic_route& route);

private:
    struct rotation {
        std::vector<weighted_service> parts;
        std::vector<double> credit;
    };

    void restart(rotation& item, const traffic_route& route);

    std::map<kernel::route_name, rotation> rotations_;
    std::mt19937_64 random_;
};

} // namespace wisterialane::proxy
