#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/placement/spillover_planner.h"
#include "libraries/proxy/service_results.h"
#include "libraries/proxy/upstream_record.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace wisterialane::proxy {

/// Orders the hosts differently for each upstream: the first one sees to it that it is never long without a request.
///
/// Only hosts with requests of the service can do so, and those need not be the active ones, because callers keep
/// addresses for seconds. So the order has the hosts that report requests, without those that could not connect to the
/// upstream. Hosts of the upstream's data centre come before all others. A host that misses reports takes itself for
/// the first of more upstreams, which then get more requests, not fewer.
class serving_order {
public:
    serving_order(const service_results& results, const spillover_planner& reports)
        : results_{results}, reports_{reports}
    {}

    /// Sets the name of this host.
    void set_host(const kernel::host_name& host, const kernel::data_centre_name& data_centre);

    /// Whether this host is the first for the upstream.
    [[nodiscard]] bool is_first(const upstream_record& upstream, const std::vector<kernel::host_name>& unreachable_from,
                                kernel::time_point now);

private:
    /// Hashes of the names of the other hosts with requests of a service.
    struct serving_hosts {
        std::unordered_map<kernel::data_centre_name, std::vector<std::uint64_t>> by_data_centre;
        std::vector<std::uint64_t> all;
        kernel::time_point read_at = kernel::time_point::min();
    };

    [[nodiscard]] const serving_hosts& other_hosts(const kernel::service_name& service, kernel::time_point now);

    const service_results& results_;
    const spillover_planner& reports_;
    kernel::data_centre_name own_data_centre_;
    std::uint64_t own_hash_ = 0;
    std::unordered_map<kernel::service_name, serving_hosts> known_;
};

} // namespace wisterialane::proxy
