#include "libraries/proxy/admission/retry_policy.h"

#include "libraries/proxy/request_queue.h"

#include <algorithm>

namespace wisterialane::proxy {
namespace {

/// Part of the budget that a retry leaves if its response will miss the target latency. Less than the part that less
/// urgent requests usually leave, because urgency comes first.
constexpr double late_reserve = 0.25;

} // namespace

std::optional<double> retry_reserve(const retry_candidate& candidate, kernel::time_point now)
{
    if (now + minimum_dispatch_time(candidate.usual_latency) > candidate.response_deadline) {
        return std::nullopt;
    }
    const bool late = now + candidate.usual_latency > candidate.received_at + candidate.target_latency;
    return std::min(1.0, candidate.more_urgent_fraction + (late ? late_reserve : 0));
}

} // namespace wisterialane::proxy
