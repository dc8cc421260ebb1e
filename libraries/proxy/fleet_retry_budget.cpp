#include "libraries/proxy/fleet_retry_budget.h"

#include <algorithm>

namespace wisterialane::proxy {
namespace {

/// Fraction of the allowance that is used; the reserve is for the windows of the hosts, which begin at different times.
constexpr double used_fraction = 0.75;
/// Fraction of the slack for all standby hosts: they receive few requests, but any of them may receive some.
constexpr double standby_fraction = 0.25;
/// The window over which retries are limited.
constexpr kernel::duration window = std::chrono::seconds{10};
/// Retries are counted for a second longer, because the current second has only begun: none of the window is left out.
constexpr std::chrono::seconds retry_count_window{11};
/// A process that has just started uses this fraction of its share, because the previous process may have sent retries
/// in the same window.
constexpr double starting_fraction = 0.5;

} // namespace

void fleet_retry_budget::record_request(const kernel::service_name& service, kernel::time_point now)
{
    services_[service].requests.add(now);
}

bool fleet_retry_budget::try_consume(const kernel::service_name& service, kernel::time_point now)
{
    auto& counters = services_[service];
    const auto requests = static_cast<double>(counters.requests.count(now));
    const auto retries = static_cast<double>(counters.retries.count(now, retry_count_window));
    if (retries + 1 > used_fraction * (allowance_.ratio * requests + slack_fraction_ * allowance_.slack)) {
        return false;
    }
    counters.retries.add(now);
    return true;
}

double slack_fraction(const fleet_position& position)
{
    const auto hosts = std::max<std::size_t>(1, position.active ? position.active_hosts : position.standby_hosts);
    const double group_fraction = position.active ? 1 - standby_fraction : standby_fraction;
    const double fraction = group_fraction / static_cast<double>(hosts);
    return position.uptime < window ? starting_fraction * fraction : fraction;
}

} // namespace wisterialane::proxy
