#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/placement/service_supply.h"
#include "libraries/proxy/placement/spillover.h"
#include "libraries/proxy/service_results.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wisterialane::proxy {

/// Slots of a service's upstreams that take requests, by data centre.
using slots_by_data_centre = std::map<kernel::data_centre_name, double>;

/// Applies `decide_spillover` to the requests of this host: collects its inputs from the reports of all hosts and
/// spreads the share that leaves evenly over the requests.
class spillover_planner {
public:
    spillover_planner(const service_results& results, kernel::data_centre_name local)
        : results_{results}, local_{std::move(local)}
    {}

    /// Records the report of another host. A host of an earlier release reports no supply.
    void record_report(const kernel::host_name& from, const kernel::data_centre_name& data_centre,
                       service_supplies supplies, kernel::time_point now);

    /// The data centre of a host that has reported recently; null for others.
    [[nodiscard]] const kernel::data_centre_name* data_centre_of(const kernel::host_name& host) const;

    /// Removes the reports of hosts that have become silent. Called several times a second.
    void expire(kernel::time_point now);

    /// Sets the expected wait in this host's queue of the service.
    void set_waiting(const kernel::service_name& service, kernel::duration waiting) { waiting_[service] = waiting; }

    [[nodiscard]] kernel::duration waiting(const kernel::service_name& service) const;

    /// The present decision. `observed` returns the slots that this host sees; it is called a few times a second.
    const spillover_decision& decide(const kernel::service_name& service,
                                     const std::function<slots_by_data_centre()>& observed, kernel::time_point now);

    /// The data centre to which the next request should go because it is its turn to leave; empty if it should stay.
    [[nodiscard]] std::optional<kernel::data_centre_name> turn_to_leave(const kernel::service_name& service,
                                                                        std::uint64_t body_bytes) const;

    /// Records where a request was sent.
    void record_sent(const kernel::service_name& service, const kernel::data_centre_name& data_centre);

    /// The last decision of each service with its inputs, for logs and metrics.
    struct service_plan {
        spillover_decision decision;
        std::vector<spillover_input> inputs;
        kernel::time_point decided_at = kernel::time_point::min();
        /// Requests that should have left, less those that did, by destination.
        std::map<kernel::data_centre_name, double> due;
        /// The share that left when `take_changed` last returned the service.
        double noted_leaving = 0;
        kernel::time_point noted_at{};
    };

    [[nodiscard]] const std::unordered_map<kernel::service_name, service_plan>& plans() const { return plans_; }

    /// The services whose leaving share has begun, ended or changed by a twentieth since they were last returned, which
    /// was at least a second ago.
    [[nodiscard]] std::vector<kernel::service_name> take_changed(kernel::time_point now);

    /// Fraction of the service's demand in this data centre that is this host's own; 1 if no other host there reports
    /// any.
    [[nodiscard]] double share_of_data_centre(const kernel::service_name& service, kernel::time_point now) const;

private:
    struct host_report {
        kernel::data_centre_name data_centre;
        service_supplies supplies;
        kernel::time_point received_at{};
    };

    [[nodiscard]] std::vector<spillover_input>
    inputs_of(const kernel::service_name& service, const slots_by_data_centre& observed, kernel::time_point now) const;
    [[nodiscard]] spillover_input input_of(const kernel::service_name& service,
                                           const kernel::data_centre_name& data_centre, double observed_slots,
                                           kernel::time_point now) const;
    [[nodiscard]] double reported_demand_ms(const kernel::service_name& service,
                                            const kernel::data_centre_name& data_centre) const;

    const service_results& results_;
    kernel::data_centre_name local_;
    std::map<kernel::host_name, host_report> reports_;
    std::unordered_map<kernel::service_name, kernel::duration> waiting_;
    std::unordered_map<kernel::service_name, service_plan> plans_;
};

} // namespace wisterialane::proxy
