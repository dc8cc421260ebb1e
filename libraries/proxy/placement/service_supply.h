#pragma once

#include "kernel/identifiers.h"

#include <chrono>
#include <map>
#include <optional>

namespace wisterialane::proxy {

/// What a host reports of a service's upstreams in its own data centre.
struct service_supply {
    /// Slots of the upstreams that take requests.
    double healthy_slots = 0;
    /// Expected wait of a new request in the host's queue; empty if the host has had no requests of the service.
    std::optional<std::chrono::milliseconds> waiting = std::nullopt;

    friend bool operator==(const service_supply&, const service_supply&) = default;
};

using service_supplies = std::map<kernel::service_name, service_supply>;

} // namespace wisterialane::proxy
