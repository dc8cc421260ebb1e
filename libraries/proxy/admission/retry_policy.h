#pragma once

#include "kernel/clock.h"

#include <optional>

namespace wisterialane::proxy {

/// A request that an upstream has not served, at the time of the decision whether it is sent again.
struct retry_candidate {
    kernel::time_point received_at;
    /// Target latency of its route.
    kernel::duration target_latency{};
    kernel::time_point response_deadline;
    /// Usual latency of the service.
    kernel::duration usual_latency{};
    /// Fraction, 0 to 1, of the service's recent requests that are more urgent.
    double more_urgent_fraction = 0;
};

/// Decides which part of the retry budget a retry has to leave to requests that gain more by it. Empty if a response
/// before the deadline can't be expected, so that the request isn't sent again.
///
/// Written for a service whose upstreams refuse half of all requests: the budget then covers less than half of the
/// retries that requests ask for. More urgent requests come first, then those that can still meet their target latency.
[[nodiscard]] std::optional<double> retry_reserve(const retry_candidate& candidate, kernel::time_point now);

} // namespace wisterialane::proxy
