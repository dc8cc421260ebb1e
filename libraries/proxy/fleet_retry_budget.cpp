#include "libraries/proxy/fleet_retry_budget.h"

#include <algorithm>
#include <cmath>

namespace wisterialane::proxy {
namespace {

/// Fraction of the slack that is divided among the hosts. The rest is for the seconds in which hosts disagree about
/// which of them are active, so that more of them use the share of an active host.
constexpr double used_slack_fraction = 0.75;
/// Fraction of the slack for all standby hosts: they receive few requests, but any of them may receive some.
constexpr double standby_fraction = 0.25;
/// The window over which retries are limited.
constexpr kernel::duration window = std::chrono::seconds{10};
/// A process that has just started uses this fraction of its share, because the previous process may have sent retries
/// in the same window.
constexpr double starting_fraction = 0.5;

/// Tokens of a service before its first request, which itself can then be sent again. The undivided part of the slack
/// covers them for the hosts that start together and are sent requests before they know how many hosts there are.
constexpr double initial_tokens = 0.8;

// Whether the host is one of `whole_shares` hosts that are spread evenly over all hosts.
bool has_whole_share(const fleet_position& position, double whole_shares)
{
    const auto hosts = static_cast<double>(position.active_hosts + position.standby_hosts);
    const auto shares_before = [&](std::size_t index) {
        return std::floor(static_cast<double>(index) * std::min(1.0, whole_shares / hosts));
    };
    return shares_before(position.index + 1) > shares_before(position.index);
}

} // namespace

double fleet_retry_budget::bucket_size() const
{
    return used_slack_fraction * slack_fraction_ * allowance_.slack;
}

double& fleet_retry_budget::tokens_of(const kernel::service_name& service)
{
    auto& tokens = tokens_.try_emplace(service, initial_tokens).first->second;
    tokens = std::min(bucket_size(), tokens);
    return tokens;
}

void fleet_retry_budget::record_request(const kernel::service_name& service, kernel::time_point /*now*/)
{
    auto& tokens = tokens_of(service);
    tokens = std::min(bucket_size(), tokens + allowance_.ratio);
}

bool fleet_retry_budget::try_consume(const kernel::service_name& service, kernel::time_point /*now*/, double reserve)
{
    const double size = bucket_size();
    auto& tokens = tokens_of(service);
    if (tokens < 1 || tokens < std::min(size, 1 + reserve * size)) {
        return false;
    }
    tokens -= 1;
    return true;
}

void fleet_retry_budget::give_back(const kernel::service_name& service)
{
    auto& tokens = tokens_of(service);
    tokens = std::min(bucket_size(), tokens + 1);
}

double slack_fraction(const fleet_position& position)
{
    const auto hosts = std::max<std::size_t>(1, position.active ? position.active_hosts : position.standby_hosts);
    const double group_fraction = position.active ? 1 - standby_fraction : standby_fraction;
    const double fraction = group_fraction / static_cast<double>(hosts);
    const double usable_slack = used_slack_fraction * position.slack;
    if (usable_slack > 0 && fraction * usable_slack < 1) {
        return has_whole_share(position, group_fraction * usable_slack) ? 1 / usable_slack : 0;
    }
    return position.uptime < window ? starting_fraction * fraction : fraction;
}

} // namespace wisterialane::proxy
