#pragma once

#include "kernel/identifiers.h"

#include <vector>

namespace wisterialane::health {

/// Whether an upstream may receive new requests, apart from its health.
enum class upstream_intake { open, leaving };

struct upstream_definition {
    kernel::upstream_name name;
    kernel::socket_address address;
    /// Requests that it works on at once.
    unsigned slots = 1;
    upstream_intake intake = upstream_intake::open;
};

/// What the health logic needs to know of a configured service.
struct service_definition {
    kernel::service_name name;
    /// Share of the configured slots, in percent, that ejection and avoidance must leave in use.
    unsigned floor_percent = 50;
    std::vector<upstream_definition> upstreams;
};

} // namespace wisterialane::health
