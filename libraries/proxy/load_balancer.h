#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/service_results.h"
#include "libraries/proxy/traffic_configuration.h"
#include "libraries/proxy/upstream_directory.h"

#include <cstdint>
#include <set>
#include <vector>

#include <tl/expected.hpp>

namespace wisterialane::proxy {

/// Why a request gets no upstream now.
enum class selection_error {
    /// No upstream of the service exists, or the request was sent to all of them.
    none_available,
    /// All upstreams are as busy as this host may make them.
    all_at_limit,
};

/// A request that needs an upstream.
struct selection_request {
    kernel::service_name service;
    /// May be sent again elsewhere when an attempt fails.
    bool repeatable = false;
    /// Upstreams that failed this request.
    std::set<kernel::upstream_name> excluded;
};

/// How a host sees the upstreams of a service, and what became of its own requests.
struct service_summary {
    std::size_t trusted = 0;
    std::size_t on_trial = 0;
    std::size_t suspected = 0;
    /// Their entries are missing from the store and may come back.
    std::size_t missing = 0;
    /// An exchange takes several times the usual time.
    std::size_t stuck = 0;
    /// Got a request of this host in the last two seconds.
    std::size_t recently_used = 0;
    result_counts results;
    bool strained = false;
};

/// Chooses upstreams by trust, load, latency and data centre.
class load_balancer {
public:
    load_balancer(const upstream_directory& directory, const service_results& results, kernel::data_centre_name here)
        : directory_{directory}, results_{results}, here_{std::move(here)}
    {}

    [[nodiscard]] tl::expected<tracked_upstream*, selection_error> choose(const selection_request& request,
                                                                          kernel::time_point now);

    [[nodiscard]] service_summary summarize(const kernel::service_name& service, kernel::time_point now) const;

    /// Mean time of an exchange with the service's upstreams; zero before the first.
    [[nodiscard]] kernel::duration service_latency(const kernel::service_name& service) const;

private:
    struct candidate {
        tracked_upstream* item = nullptr;
        double cost = 0;
    };

    /// Upstreams by what may be asked of them now.
    struct shortlist {
        std::vector<candidate> trusted;
        std::vector<candidate> on_trial;
        std::vector<candidate> suspected;
        /// Some upstream takes no further request of this host.
        bool some_are_full = false;
    };

    [[nodiscard]] shortlist sort(const std::vector<tracked_upstream*>& items, kernel::duration typical, bool strained,
                                 kernel::time_point now) const;
    [[nodiscard]] static std::set<kernel::upstream_name> released_early(const std::vector<tracked_upstream*>& items,
                                                                        double suspected_part, kernel::time_point now);
    [[nodiscard]] static tracked_upstream* least_suspected(const std::vector<candidate>& candidates,
                                                           kernel::time_point now);
    [[nodiscard]] double cost_of(const tracked_upstream& item, kernel::duration typical, bool strained,
                                 kernel::time_point now) const;
    [[nodiscard]] static bool is_stuck(const tracked_upstream& item, kernel::duration typical, kernel::time_point now);
    [[nodiscard]] static trust trust_of(const tracked_upstream& item, kernel::duration typical, kernel::time_point now);
    [[nodiscard]] static tracked_upstream* cheapest(const std::vector<candidate>& candidates);
    [[nodiscard]] tracked_upstream* cheapest_here(const std::vector<candidate>& candidates) const;

    const upstream_directory& directory_;
    const service_results& results_;
    kernel::data_centre_name here_;
    /// Counts the repeatable requests.
    std::uint64_t turn_ = 0;
};

} // namespace wisterialane::proxy
