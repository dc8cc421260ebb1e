#pragma once

#include "kernel/identifiers.h"

#include <cstdint>
#include <vector>

namespace wisterialane::health {

/// Rising counters of one host about one upstream, since the host's start. A newer report replaces an older one, so
/// lost, repeated and reordered reports do no harm.
struct upstream_counters {
    kernel::upstream_name upstream;
    /// Exchanges whose answer was whole, correct and timely.
    std::uint64_t good = 0;
    /// Exchanges that failed, were answered wrongly, or were much slower than their route on other upstreams.
    std::uint64_t bad = 0;
};

/// A request that has crashed an upstream.
struct crash_sighting {
    std::uint64_t fingerprint = 0;
    kernel::upstream_name upstream;
};

/// What one host tells the others about upstreams.
struct evidence_report {
    kernel::instance_id reporter;
    /// Rises with each report of this instance.
    std::uint64_t sequence = 0;
    std::vector<upstream_counters> counters;
    std::vector<crash_sighting> crashes;
};

} // namespace wisterialane::health
