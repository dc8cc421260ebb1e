#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/active_position.h"
#include "libraries/proxy/placement/cold_start_limit.h"
#include "libraries/proxy/placement/evacuations.h"
#include "libraries/proxy/placement/serving_order.h"
#include "libraries/proxy/placement/spillover_planner.h"
#include "libraries/proxy/service_results.h"
#include "libraries/proxy/traffic_configuration.h"
#include "libraries/proxy/upstream_directory.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <vector>

#include <tl/expected.hpp>

namespace wisterialane::proxy {

/// Why no upstream can be selected for a request now.
enum class selection_error {
    /// The service has no upstreams, or the request was sent to all of them.
    none_available,
    /// This host has as many requests in flight at each upstream, or at the service, as it may have.
    all_at_limit,
};

/// A request that needs an upstream.
struct selection_request {
    kernel::service_name service;
    /// May be sent to another upstream when an attempt fails.
    bool repeatable = false;
    /// Upstreams that failed this request.
    std::set<kernel::upstream_name> excluded;
    /// Size of its body; 0 if unknown.
    std::uint64_t body_bytes = 0;
};

/// Counts of a service's upstreams by state as this host sees them, and of the results of its own requests.
struct service_summary {
    std::size_t trusted = 0;
    std::size_t on_trial = 0;
    std::size_t suspected = 0;
    /// Upstreams that limit the rate of their requests.
    std::size_t limited = 0;
    /// Upstreams that are cold.
    std::size_t cold = 0;
    /// Entries that are missing from the store and may reappear.
    std::size_t missing = 0;
    /// Upstreams in evacuated data centres; they count in no other state.
    std::size_t evacuated = 0;
    /// Upstreams with an exchange that takes several times the mean latency.
    std::size_t stuck = 0;
    /// Upstreams that are avoided for their latency.
    std::size_t slow = 0;
    /// Upstreams that received a request of this host in the last two seconds.
    std::size_t recently_used = 0;
    /// Trusted upstreams that this host keeps in use and that have had no request of it for two seconds.
    std::size_t left_unused = 0;
    /// Requests of this host in flight at the service's upstreams.
    std::size_t in_flight = 0;
    result_counts results;
    /// So many requests of the service are unserved that all upstreams that may be healthy are needed.
    bool strained = false;
};

/// Selects upstreams by health, load, latency and data centre.
class load_balancer {
public:
    /// Without `evacuated`, no data centre is ever evacuated.
    load_balancer(const upstream_directory& directory, const service_results& results,
                  kernel::data_centre_name local_data_centre, const evacuations* evacuated = nullptr)
        : directory_{directory}, results_{results}, local_data_centre_{std::move(local_data_centre)},
          evacuations_{evacuated}, spillover_{results, local_data_centre_}, serving_order_{results, spillover_}
    {}

    /// Sets the name of this host, by which the hosts divide the upstreams that they keep in use.
    void set_host(const kernel::host_name& host) { serving_order_.set_host(host, local_data_centre_); }

    /// Sets this host's place among the active hosts; empty while it is on standby.
    void set_active_position(std::optional<active_position> position, kernel::time_point now)
    {
        active_position_ = position;
        cold_start_limit_.record_position(position, now);
    }

    /// The limit of requests to cold upstreams.
    [[nodiscard]] cold_start_limit& cold_limit() { return cold_start_limit_; }

    /// Sets the function that returns the factor, 0 to 1, of the limit on this host's requests in flight at a service.
    void set_limit_factor(std::function<double(const kernel::service_name&, kernel::time_point)> limit_factor)
    {
        limit_factor_ = std::move(limit_factor);
    }

    /// The share of the requests that leaves this data centre.
    [[nodiscard]] spillover_planner& spillover() { return spillover_; }

    /// Slots of the service's upstreams that take requests, by data centre, as this host sees them.
    [[nodiscard]] slots_by_data_centre healthy_slots(const kernel::service_name& service, kernel::time_point now) const;

    [[nodiscard]] tl::expected<tracked_upstream*, selection_error> choose(const selection_request& request,
                                                                          kernel::time_point now);

    [[nodiscard]] service_summary summarize(const kernel::service_name& service, kernel::time_point now);

    /// Time until the first of the service's upstreams takes requests of this host again, if all of them have refused
    /// for a time that they named; zero otherwise.
    [[nodiscard]] kernel::duration time_until_open(const kernel::service_name& service, kernel::time_point now) const;

    /// Whether all upstreams of the service that are not draining are in evacuated data centres.
    [[nodiscard]] bool is_evacuated(const kernel::service_name& service) const;

    /// Requests of this host in flight at the service's upstreams, including draining ones.
    [[nodiscard]] std::size_t requests_in_flight(const kernel::service_name& service) const;

    /// Mean latency of the service's upstreams; an assumed value before the first answer.
    [[nodiscard]] kernel::duration service_latency(const kernel::service_name& service) const;

private:
    struct candidate {
        tracked_upstream* upstream = nullptr;
        double cost = 0;
    };

    /// Upstreams below their request limit to which the request may be sent, by health.
    struct candidate_lists {
        std::vector<candidate> trusted;
        std::vector<candidate> on_trial;
        std::vector<candidate> suspected;
        /// An upstream that is trusted or on trial has as many requests of this host as it may have.
        bool some_at_limit = false;
        /// One of these is in this data centre.
        bool local_at_limit = false;
        /// Slots of all trusted upstreams.
        unsigned trusted_slots = 0;
        /// Requests of this host in flight at all trusted upstreams.
        std::size_t trusted_in_flight = 0;
        /// The same in this data centre.
        unsigned local_slots = 0;
        std::size_t local_in_flight = 0;
    };

    /// A request of one service at the time of its selection.
    struct selection_state {
        const selection_request& request;
        kernel::duration mean_latency{};
        bool strained = false;
        kernel::time_point now;

        /// Whether the request may be the trial of an upstream at no cost for its caller.
        [[nodiscard]] bool is_repeatable_trial() const { return request.repeatable && request.excluded.empty(); }
    };

    [[nodiscard]] tl::expected<tracked_upstream*, selection_error> find_upstream(const selection_request& request,
                                                                                 kernel::time_point now);
    [[nodiscard]] candidate_lists classify(const std::vector<tracked_upstream*>& upstreams,
                                           const selection_state& selection) const;
    [[nodiscard]] bool is_evacuated(const tracked_upstream& upstream) const;
    /// Whether the upstream takes new requests of this host.
    [[nodiscard]] bool is_available(const tracked_upstream& upstream, kernel::time_point now) const;
    /// Whether the upstream takes requests of this host at all, apart from limits of their rate.
    [[nodiscard]] bool is_open(const tracked_upstream& upstream, kernel::time_point now) const;
    /// Whether the upstream is cold and this host's share of it only lets the request wait.
    [[nodiscard]] bool awaits_cold_share(const tracked_upstream& upstream, kernel::time_point now) const;
    [[nodiscard]] bool is_cold_limited(const tracked_upstream& upstream, kernel::time_point now) const;
    /// This host's place in an order of the active hosts that differs by upstream and `seed`; empty on standby.
    [[nodiscard]] std::optional<active_position> place_for(const tracked_upstream& upstream, std::uint64_t seed) const;
    [[nodiscard]] bool may_be_tried(const tracked_upstream& upstream, bool released,
                                    const selection_state& selection) const;
    [[nodiscard]] bool is_at_service_limit(const kernel::service_name& service, const candidate_lists& candidates,
                                           kernel::duration mean_latency, kernel::time_point now) const;
    [[nodiscard]] static std::set<kernel::upstream_name>
    released_early(const std::vector<tracked_upstream*>& upstreams, double ejected_fraction, kernel::time_point now);
    /// Whether this host has to see to it that the upstream gets a request now.
    [[nodiscard]] bool is_overdue(const tracked_upstream& upstream, kernel::time_point now);
    /// The overdue upstream with a free slot that has waited longest; null if none is.
    [[nodiscard]] tracked_upstream* unused_longest(const std::vector<candidate>& candidates,
                                                   const selection_state& selection);
    [[nodiscard]] static tracked_upstream* least_suspected(const std::vector<candidate>& candidates,
                                                           kernel::time_point now);
    [[nodiscard]] double cost_of(const tracked_upstream& upstream, const selection_state& selection) const;
    [[nodiscard]] static bool is_stuck(const tracked_upstream& upstream, kernel::duration mean_latency,
                                       kernel::time_point now);
    [[nodiscard]] static bool is_slow(const tracked_upstream& upstream, kernel::duration mean_latency,
                                      kernel::time_point now);
    [[nodiscard]] static bool is_avoided_as_slow(const tracked_upstream& upstream, const selection_state& selection);
    [[nodiscard]] static trust trust_of(const tracked_upstream& upstream, kernel::duration mean_latency,
                                        kernel::time_point now);
    [[nodiscard]] static tracked_upstream* cheapest(const std::vector<candidate>& candidates);
    [[nodiscard]] static tracked_upstream* cheapest_free(const std::vector<candidate>& candidates,
                                                         const kernel::data_centre_name& data_centre);
    [[nodiscard]] tracked_upstream* choose_placed(const candidate_lists& candidates, const selection_request& request,
                                                  const spillover_decision& decision) const;
    [[nodiscard]] bool is_at_local_limit(const candidate_lists& candidates, const spillover_decision& decision,
                                         const selection_state& selection) const;

    const upstream_directory& directory_;
    const service_results& results_;
    kernel::data_centre_name local_data_centre_;
    const evacuations* evacuations_;
    std::optional<active_position> active_position_ = active_position{};
    cold_start_limit cold_start_limit_;
    std::function<double(const kernel::service_name&, kernel::time_point)> limit_factor_;
    spillover_planner spillover_;
    serving_order serving_order_;
    /// Repeatable requests at their first attempt; every second one may go to an upstream on trial.
    std::uint64_t trial_candidates_ = 0;
};

} // namespace wisterialane::proxy
