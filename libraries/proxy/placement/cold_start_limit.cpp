#include "libraries/proxy/placement/cold_start_limit.h"

#include "libraries/proxy/upstream_rate_limit.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace wisterialane::proxy {
namespace {

/// Requests sent within this time may arrive within one second, because some of them first open a connection.
constexpr double sending_window_seconds = 1.25;
/// Requests of one host in a sending window that stay just below a second one.
constexpr double below_two_requests = 0.99;

/// The rate of a cold upstream and the number of hosts that share it.
struct division {
    double per_second = 0;
    double maximum_shares = 1;
};

// Each sharing host sends at equal intervals, so in a window it sends its part of the rate and one request more. The
// number of sharing hosts is limited so that all of them together stay within the bound.
division divide(double per_second, const cold_bounds& bounds)
{
    const double allowed = std::floor(per_second * bounds.over + bounds.slack);
    if (allowed < 1) {
        return {};
    }
    const double shares = std::max(1.0, std::floor(allowed - sending_window_seconds * per_second));
    const double in_window = std::max(allowed - shares, below_two_requests);
    return {std::min(per_second, in_window / sending_window_seconds), shares};
}

// The first of the hosts that share the upstream. When the number of active hosts changes by a few, most upstreams keep
// most of their hosts, unlike with a remainder of the hash.
active_position place_in_order_of(const kernel::upstream_name& upstream, const active_position& position)
{
    const auto& name = upstream.value();
    constexpr double hash_range = 18446744073709551616.0;
    const double fraction = static_cast<double>(::XXH64(name.data(), name.size(), 0)) / hash_range;
    const auto hosts = position.hosts;
    const auto first = std::min(hosts - 1, static_cast<std::size_t>(fraction * static_cast<double>(hosts)));
    return {(position.index + hosts - first) % hosts, hosts};
}

} // namespace

void cold_start_limit::set_services(const std::vector<traffic_service>& services)
{
    services_.clear();
    for (const auto& service : services) {
        if (service.cold_per_second > 0) {
            services_[service.name] = {service.cold_start, service.cold_per_second};
        }
    }
}

bool cold_start_limit::applies_to(const kernel::service_name& service) const
{
    return bounds_ && services_.contains(service);
}

kernel::duration cold_start_limit::cold_start(const kernel::service_name& service) const
{
    return applies_to(service) ? services_.at(service).cold_start : kernel::duration::zero();
}

std::optional<kernel::duration> cold_start_limit::time_until_request(const kernel::service_name& service,
                                                                     const kernel::upstream_name& upstream,
                                                                     kernel::time_point last_request_at,
                                                                     kernel::time_point now) const
{
    if (!applies_to(service)) {
        return kernel::duration::zero();
    }
    const auto divided = divide(services_.at(service).per_second, *bounds_);
    std::chrono::duration<double> longest{0};
    for (const auto& position : positions_.recent(now)) {
        if (!position) {
            return std::nullopt;
        }
        const auto interval =
            share_interval(place_in_order_of(upstream, *position), divided.per_second, divided.maximum_shares);
        if (!interval) {
            return std::nullopt;
        }
        longest = std::max(longest, *interval);
    }
    const auto wait = longest - std::chrono::duration<double>{now - last_request_at};
    return std::max(kernel::duration::zero(), std::chrono::ceil<kernel::duration>(wait));
}

} // namespace wisterialane::proxy
