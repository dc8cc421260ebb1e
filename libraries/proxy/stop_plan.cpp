#include "libraries/proxy/stop_plan.h"

namespace wisterialane::proxy {
namespace {

/// Connections are refused this long before the kill, so that running requests can end.
constexpr kernel::duration final_drain_time = std::chrono::milliseconds{1500};
/// The process exits by itself this long before the kill.
constexpr kernel::duration exit_margin = std::chrono::milliseconds{300};
/// Most requests to a service take less than this multiple of its typical latency.
constexpr int slow_latency_factor = 4;
/// Almost all requests take less than this multiple, including the time in a queue. It applies to requests that arrive
/// in the second half of the grace period, which must end before the kill.
constexpr int slowest_latency_factor = 10;

} // namespace

void stop_plan::begin(kernel::time_point now, kernel::duration grace_period)
{
    if (!began_at_) {
        began_at_ = now;
        grace_period_ = grace_period;
    }
}

bool stop_plan::accepts_request(kernel::time_point now, kernel::duration typical_latency) const
{
    if (!began_at_) {
        return true;
    }
    const int factor = now < *began_at_ + grace_period_ / 2 ? slow_latency_factor : slowest_latency_factor;
    return now + factor * typical_latency < *began_at_ + grace_period_ - exit_margin;
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
