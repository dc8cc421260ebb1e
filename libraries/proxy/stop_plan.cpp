#include "libraries/proxy/stop_plan.h"

namespace wisterialane::proxy {
namespace {

/// Before the kill, this much time is left for the requests that still run.
constexpr kernel::duration last_requests = std::chrono::milliseconds{1500};
/// The process ends by itself this much before the kill.
constexpr kernel::duration kill_reserve = std::chrono::milliseconds{300};
/// Most requests of a service take less than this many times its usual time.
constexpr int slow_factor = 4;
/// Hardly any takes longer than this, also behind others in a queue. A request that is taken in the second half of the
/// grace has to end before the kill.
constexpr int slowest_factor = 10;

} // namespace

void stop_plan::begin(kernel::time_point now, kernel::duration grace)
{
    if (!began_) {
        began_ = now;
        grace_ = grace;
    }
}

bool stop_plan::accepts_request(kernel::time_point now, kernel::duration typical) const
{
    if (!began_) {
        return true;
    }
    const int factor = now < *began_ + grace_ / 2 ? slow_factor : slowest_factor;
    return now + factor * typical < *began_ + grace_ - kill_reserve;
}

bool stop_plan::accepts_connections(kernel::time_point now) const
{
    return !began_ || now < *began_ + grace_ - last_requests;
}

bool stop_plan::must_end(kernel::time_point now) const
{
    return began_ && now >= *began_ + grace_ - kill_reserve;
}

} // namespace wisterialane::proxy
