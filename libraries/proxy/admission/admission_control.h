#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/admission/request_priority.h"
#include "libraries/proxy/admission/retry_schedule.h"
#include "libraries/proxy/admission/shed_monitor.h"
#include "libraries/proxy/fleet_retry_budget.h"
#include "libraries/proxy/load_balancer.h"
#include "libraries/proxy/request_queue.h"
#include "libraries/proxy/service_results.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace wisterialane::proxy {

/// What admission control needs to know of a request that may be sent to an upstream.
struct request_profile {
    kernel::service_name service;
    request_priority priority;
    kernel::time_point received_at;
    /// Target latency of its route.
    kernel::duration target_latency{};
    kernel::time_point response_deadline;
};

enum class retry_decision {
    send,
    /// No response before the deadline can be expected.
    too_late,
    /// The budget is used up, or its rest is reserved for requests that gain more.
    no_budget,
};

[[nodiscard]] std::string_view to_name(retry_decision decision);

/// What a second attempt is for.
enum class retry_purpose {
    /// The earlier attempts have ended.
    retry,
    /// An earlier attempt may still succeed.
    hedge,
};

/// Whether a service's upstreams refuse a considerable part of this host's requests.
struct shedding_state {
    kernel::service_name service;
    bool shedding = false;
    /// The refusals come with load.
    bool congested = false;
    double accepted_fraction = 1;
    double limit_factor = 1;
};

/// Decides for all services of a host whether a request is sent again, how many requests may be in flight, and when
/// callers of refused requests should return.
class admission_control {
public:
    admission_control(fleet_retry_budget& budget, service_results& results, const load_balancer& balancer)
        : budget_{budget}, results_{results}, balancer_{balancer}
    {}

    /// Records that a caller's request may be sent to an upstream.
    void record_arrival(const request_profile& request, kernel::time_point now);

    /// Records the first sending of a request to an upstream.
    void record_first_send(const request_profile& request, kernel::time_point now);

    void record_accepted(const kernel::service_name& service, kernel::duration latency, kernel::time_point now);

    /// Records a refusal. Returns whether other upstreams should be preferred for a while, which is of no use if all of
    /// them refuse a part of the requests at random.
    bool record_shed(const kernel::service_name& service, const observed_shed& shed, kernel::time_point now);

    /// Whether the request is sent again. Takes the retry from the budget if it is.
    [[nodiscard]] retry_decision decide_retry(const request_profile& request, retry_purpose purpose,
                                              kernel::time_point now);

    /// Returns the retry of a request that has to wait for a free slot, so that it is taken when it is sent.
    void give_back_retry(const kernel::service_name& service) { budget_.give_back(service); }

    /// Time until the caller of a request that the upstreams have shed should return.
    [[nodiscard]] kernel::duration retry_after_shed(const request_profile& request, kernel::time_point now);

    /// Time until the caller of a request should return that is refused because of the load. `expected_wait` is the
    /// time until a request that arrives now is sent.
    [[nodiscard]] kernel::duration retry_after_overload(const request_profile& request, kernel::duration expected_wait,
                                                        kernel::time_point now);

    /// Usual latency by recent responses, and requests in flight, by which waiting requests are judged.
    [[nodiscard]] queue_state queue_state_of(const kernel::service_name& service, kernel::time_point now) const;

    /// Priority with which the request waits. A priority that is served far less often than the others waits with the
    /// most urgent requests.
    [[nodiscard]] request_priority queue_priority(const request_profile& request, kernel::time_point now) const;

    [[nodiscard]] retry_schedule& schedule() { return schedule_; }

    /// Factor of the limit on this host's requests in flight at the service.
    [[nodiscard]] double limit_factor(const kernel::service_name& service, kernel::time_point now) const;

    /// State of each service that has been used.
    [[nodiscard]] std::vector<shedding_state> shedding_states(kernel::time_point now) const;

    /// States that differ from those returned before in whether the service sheds. Called once a second.
    [[nodiscard]] std::vector<shedding_state> take_shedding_changes(kernel::time_point now);

private:
    [[nodiscard]] refused_request describe(const request_profile& request, kernel::time_point now) const;

    fleet_retry_budget& budget_;
    service_results& results_;
    const load_balancer& balancer_;
    retry_schedule schedule_;
    std::unordered_map<kernel::service_name, shed_monitor> monitors_;
    std::unordered_map<kernel::service_name, bool> reported_shedding_;
};

} // namespace wisterialane::proxy
