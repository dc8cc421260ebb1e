#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/admission/priority_yield.h"
#include "libraries/proxy/admission/request_priority.h"
#include "libraries/proxy/window_counter.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace wisterialane::proxy {

enum class request_result {
    served,
    unserved,
    /// The caller closed its connection before the answer; counts as unserved.
    disconnected,
};

/// Time over which requests are counted.
inline constexpr std::chrono::seconds result_window{3};

/// Requests of the last three seconds.
struct result_counts {
    std::uint64_t served = 0;
    std::uint64_t unserved = 0;
    /// Work of the requests that have arrived, in milliseconds of an upstream's slot.
    std::uint64_t demand_ms = 0;
    /// Requests that have arrived, by priority. Only in reports.
    priority_levels levels = {};

    friend bool operator==(const result_counts&, const result_counts&) = default;
};

/// Greatest number of priorities of one service in a report. The less urgent ones count as one.
inline constexpr std::size_t maximum_reported_levels = 4;

using service_counts = std::map<kernel::service_name, result_counts>;

/// Demand and results of each service's requests at this host, and at the other hosts as they report them.
///
/// Whether a service is short of healthy upstreams is decided over the callers of all hosts: a host whose own callers
/// are served must not keep healthy upstreams ejected while callers of other hosts are unserved.
class service_results {
public:
    void record(const kernel::service_name& service, request_result result, kernel::time_point now);

    /// Records that a caller has sent a request that may be sent to an upstream. `work` is the time for which it is
    /// expected to use a slot there.
    void record_demand(const kernel::service_name& service, kernel::duration work, kernel::time_point now,
                       request_priority priority = {});

    /// Records that a request counted by `record_demand` was not served.
    void record_unserved(const kernel::service_name& service, request_priority priority, kernel::time_point now);

    /// Place of this priority among this host's recent requests of the service.
    [[nodiscard]] priority_place place_of(const kernel::service_name& service, request_priority priority,
                                          kernel::time_point now) const;

    /// Replaces the results that another host reported before.
    void record_remote(const kernel::host_name& from, service_counts counts, kernel::time_point now);

    /// Removes the reports of hosts that have become silent, and judges how far less urgent requests give way. Called
    /// several times a second.
    void expire(kernel::time_point now);

    /// Results at this host.
    [[nodiscard]] result_counts local_counts(const kernel::service_name& service, kernel::time_point now) const;

    /// Results at this host for a report to the others. If there are many services, those with the most unserved
    /// requests.
    [[nodiscard]] service_counts local_report(kernel::time_point now) const;

    /// Requests of the service at all hosts by priority; empty if no host has several.
    [[nodiscard]] priority_levels fleet_levels(const kernel::service_name& service, kernel::time_point now) const;

    /// Weight of less urgent requests in the demand, 0.25 to 1; below 1 while more urgent ones go unserved at any host.
    [[nodiscard]] double less_urgent_weight(const kernel::service_name& service) const;

    /// Sum of the reports of the other hosts that the predicate selects.
    [[nodiscard]] result_counts remote_counts(const kernel::service_name& service,
                                              const std::function<bool(const kernel::host_name&)>& selects) const;

    /// The other hosts that report at least this fraction of the requests of the one that reports most.
    [[nodiscard]] std::vector<kernel::host_name> serving_hosts(const kernel::service_name& service,
                                                               double fraction_of_busiest) const;

    /// This host's fraction of the service's weighted demand at all hosts. 1 if no other host reports any.
    [[nodiscard]] double local_share(const kernel::service_name& service, kernel::time_point now) const;

    /// Whether so many requests of the service are unserved that all upstreams that may be healthy are needed.
    [[nodiscard]] bool is_strained(const kernel::service_name& service, kernel::time_point now) const;

private:
    struct service_counters {
        window_counter served;
        window_counter unserved;
        window_counter demand_ms;
        /// Requests by priority.
        std::map<request_priority, window_counter> arrivals;
        std::map<request_priority, window_counter> unserved_by_priority;
    };

    /// How far the less urgent requests of a service give way, and the weighted fraction of the demand because of it.
    struct service_yield {
        priority_yield yield;
        double local_fraction = 1;
        double remote_fraction = 1;
    };

    struct remote_report {
        service_counts counts;
        kernel::time_point received_at{};
    };

    void subtract_remote(const service_counts& counts);
    void update_yields(kernel::time_point now);
    [[nodiscard]] static priority_levels levels_of(const service_counters& counters, kernel::time_point now);

    std::unordered_map<kernel::service_name, service_counters> local_counters_;
    std::map<kernel::host_name, remote_report> remote_reports_;
    /// Sum of `remote_reports_`.
    std::unordered_map<kernel::service_name, result_counts> remote_totals_;
    std::unordered_map<kernel::service_name, service_yield> yields_;
};

} // namespace wisterialane::proxy
