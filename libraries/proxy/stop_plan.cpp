#include "libraries/proxy/stop_plan.h"

namespace wisterialane::proxy {
namespace {

/// Connections are refused this long before the kill, so that running requests can end.
constexpr kernel::duration final_drain_time = std::chrono::milliseconds{1500};
/// The process exits by itself this long before the kill.
constexpr kernel::duration exit_margin = std::chrono::milliseconds{300};

} // namespace

void stop_plan::begin(kernel::time_point now, kernel::duration grace_period)
{
    if (!began_at_) {
        began_at_ = now;
        grace_period_ = grace_period;
    }
}

// The typical latency of a service is no bound: an upstream may hang until the deadline, and the end of the process
// would cut a request that has run.
bool stop_plan::accepts_request(kernel::time_point response_deadline) const
{
    return !began_at_ || response_deadline < *began_at_ + grace_period_ - exit_margin;
}

bool stop_plan::accepts_connections(kernel::time_point now) const
{
    return !began_at_ || now < *began_at_ + grace_period_ - final_drain_time;
}

bool stop_plan::must_end(kernel::time_point now) const
{
    return began_at_ && now >= *began_at_ + grace_period_ - exit_margin;
}

} // namespace wisterialane::proxy
