#include "libraries/proxy/fleet_retry_budget.h"

#include <algorithm>

namespace wisterialane::proxy {
namespace {

/// Part of the allowance that is used, because hosts count their windows at different moments.
constexpr double used_part = 0.75;
/// Hosts that stand by get few requests, but any of them may get some.
constexpr double standby_part = 0.25;
/// The window over which retries are bounded.
constexpr kernel::duration window = std::chrono::seconds{10};
/// A process that has just started leaves room for the retries of the one before it.
constexpr double starting_part = 0.5;

} // namespace

void fleet_retry_budget::record_request(const kernel::service_name& service, kernel::time_point now)
{
    services_[service].requests.add(now);
}

bool fleet_retry_budget::try_consume(const kernel::service_name& service, kernel::time_point now)
{
    auto& counted = services_[service];
    const auto requests = static_cast<double>(counted.requests.count(now));
    const auto retries = static_cast<double>(counted.retries.count(now));
    if (retries + 1 > used_part * (allowance_.ratio * requests + slack_fraction_ * allowance_.slack)) {
        return false;
    }
    counted.retries.add(now);
    return true;
}

double slack_fraction(const fleet_position& position)
{
    const auto hosts = std::max<std::size_t>(1, position.active ? position.active_hosts : position.standby_hosts);
    const double group = position.active ? 1 - standby_part : standby_part;
    const double part = group / static_cast<double>(hosts);
    return position.uptime < window ? starting_part * part : part;
}

} // namespace wisterialane::proxy
