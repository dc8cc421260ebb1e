#include "libraries/proxy/fleet_retry_budget.h"

#include <algorithm>

namespace wisterialane::proxy {
namespace {

/// Part of the allowance that is used, because hosts count their windows at different moments.
constexpr double used_part = 0.75;

} // namespace

void fleet_retry_budget::record_request(const kernel::service_name& service, kernel::time_point now)
{
    services_[service].requests.add(now);
}

bool fleet_retry_budget::try_retry(const kernel::service_name& service, kernel::time_point now)
{
    auto& counted = services_[service];
    const auto requests = static_cast<double>(counted.requests.count(now));
    const auto retries = static_cast<double>(counted.retries.count(now));
    const double slack = allowance_.slack / static_cast<double>(std::max<std::size_t>(1, hosts_));
    if (retries + 1 > used_part * (allowance_.ratio * requests + slack)) {
        return false;
    }
    counted.retries.add(now);
    return true;
}

} // namespace wisterialane::proxy
