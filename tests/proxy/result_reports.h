#pragma once

#include "tests/proxy/proxy_fixture.h"

#include <cstddef>
#include <deque>
#include <string>

namespace wisterialane::proxy {

/// Delivers the results that one emulated host reports to all others. `Host` has a member `results`.
template <class Host>
void deliver_report(std::deque<Host>& hosts, std::size_t from, kernel::time_point now)
{
    const auto report = hosts[from].results.local_report(now);
    for (std::size_t to = 0; to < hosts.size(); ++to) {
        if (to != from) {
            hosts[to].results.record_remote(kernel::host_name{std::to_string(from)}, report, now);
        }
    }
}

/// Delivers what one emulated host sees of a service's upstreams to all others. `Host` has a balancer and a data
/// centre.
template <class Host>
void deliver_supplies(std::deque<Host>& hosts, std::size_t from, const service_supplies& supplies,
                      kernel::time_point now)
{
    for (std::size_t to = 0; to < hosts.size(); ++to) {
        if (to != from) {
            hosts[to].balancer.spillover().record_report(kernel::host_name{std::to_string(from)},
                                                         hosts[from].data_centre, supplies, now);
        }
    }
}

} // namespace wisterialane::proxy
