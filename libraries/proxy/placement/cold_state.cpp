#include "libraries/proxy/placement/cold_state.h"

#include <algorithm>

namespace wisterialane::proxy {
namespace {

/// Difference of two statements on the end of the cold time that is no news: they are made at different times and
/// arrive late.
constexpr kernel::duration noticeable_difference = std::chrono::milliseconds{500};
/// Time from the last failure to connect until it no longer counts. It ends sooner with the first connection of any
/// host, but the report of that one may be lost, and a host without a share of the upstream opens none itself.
constexpr kernel::duration failure_lifetime = std::chrono::seconds{15};

} // namespace

bool cold_state::record_statement(std::chrono::milliseconds left, kernel::time_point now)
{
    const bool was_cold = is_cold(now);
    const auto difference = left - remaining(now);
    awaits_connection_until_ = {};
    cold_until_ = now + left;
    return was_cold != is_cold(now) || std::max(difference, -difference) > noticeable_difference;
}

void cold_state::record_connect_failure(kernel::time_point now)
{
    awaits_connection_until_ = now + failure_lifetime;
}

void cold_state::record_connection(kernel::duration cold_start, kernel::time_point now)
{
    if (awaits_connection(now)) {
        awaits_connection_until_ = {};
        cold_until_ = std::max(cold_until_, now + cold_start);
    }
}

kernel::duration cold_state::remaining(kernel::time_point now) const
{
    return std::max(kernel::duration::zero(), cold_until_ - now);
}

} // namespace wisterialane::proxy
