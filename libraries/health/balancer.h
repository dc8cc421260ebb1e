#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/health/service_definition.h"

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wisterialane::health {

/// Uniformly distributed 64-bit numbers.
using random_source = std::function<std::uint64_t()>;

/// Chooses among the upstreams of one service by two random choices (Mitzenmacher 2001), compared by in-flight requests
/// relative to slots and by smoothed latency, both as this host observes them.
class balancer {
public:
    /// Share of the ordinary load from 0 to 1 that an upstream may receive.
    using weight_function = std::function<double(const kernel::upstream_name&)>;

    /// A service whose upstreams shed is tried again after this pause.
    static constexpr kernel::duration shed_pause = std::chrono::milliseconds{250};

    void configure(const service_definition& definition);

    /// Fails with `no_usable_upstream` when all have no weight or are excluded, and with `upstreams_busy` when the
    /// others have as many requests in flight from this host as they have slots.
    kernel::result<kernel::upstream_name> choose(const weight_function& weight,
                                                 const std::unordered_set<kernel::upstream_name>& excluded,
                                                 const random_source& random, kernel::time_point now) const;

    void started(const kernel::upstream_name& name);
    void finished(const kernel::upstream_name& name);

    void observe_latency(const kernel::upstream_name& name, kernel::duration latency, kernel::time_point now);

    /// A quick failure must not attract requests by its low latency.
    void observe_failure(const kernel::upstream_name& name, kernel::time_point now);

    /// The upstream refused a request for lack of capacity; it is chosen last during `shed_pause`.
    void observe_shed(const kernel::upstream_name& name, kernel::time_point now);

    [[nodiscard]] unsigned in_flight(const kernel::upstream_name& name) const;

private:
    struct upstream_load {
        unsigned slots = 1;
        unsigned in_flight = 0;
        /// Seconds; 0 while unknown.
        double latency = 0;
        kernel::time_point observed;
        kernel::time_point paused_until;
    };

    struct candidate {
        const kernel::upstream_name* name = nullptr;
        const upstream_load* load = nullptr;
        double share = 0;
    };

    [[nodiscard]] double mean_latency() const;
    [[nodiscard]] static double cost(const upstream_load& load, double mean_latency, kernel::time_point now);
    void smooth_latency(upstream_load& load, double seconds, kernel::time_point now) const;

    std::unordered_map<kernel::upstream_name, upstream_load> upstreams_;
    /// Requests in flight to upstreams that are no longer configured.
    std::unordered_map<kernel::upstream_name, unsigned> removed_;
};

} // namespace wisterialane::health
