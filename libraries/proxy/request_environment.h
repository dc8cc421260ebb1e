#pragma once

#include "kernel/decision_log.h"
#include "libraries/health/quarantine.h"
#include "libraries/proxy/admission/admission_control.h"
#include "libraries/proxy/customer_quota.h"
#include "libraries/proxy/fleet_retry_budget.h"
#include "libraries/proxy/load_balancer.h"
#include "libraries/proxy/membership/event_loop_delay.h"
#include "libraries/proxy/memory_budget.h"
#include "libraries/proxy/peer_message.h"
#include "libraries/proxy/placement/evacuations.h"
#include "libraries/proxy/proxy_metrics.h"
#include "libraries/proxy/request_queue.h"
#include "libraries/proxy/routing_table.h"
#include "libraries/proxy/stop_plan.h"
#include "libraries/proxy/store_clock.h"
#include "libraries/proxy/upstream_connection_pool.h"
#include "libraries/proxy/upstream_directory.h"
#include "libraries/proxy/weighted_selector.h"
#include "libraries/proxy/wire_names.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_set>

namespace wisterialane::proxy {

class request_handler;

/// Maximum age of the last confirmation that the configuration is current, by the decision that relies on it.
struct configuration_age_limits {
    /// Requests with a key need a more recent confirmation, so that a revoked key is served no longer than this.
    kernel::duration key_revocation = std::chrono::seconds{5};
    /// Unknown keys and routes get 401 and 404 only with a more recent confirmation, and 503 otherwise.
    kernel::duration definitive_refusal = std::chrono::seconds{2};
};

/// Budget for messages until the settings are applied.
inline constexpr std::size_t default_memory_budget_bytes = std::size_t{64} * 1024 * 1024;

/// State and components that all requests of a host share. Used on the proxy's thread only.
struct request_environment {
    request_environment(io_context& initial_context, kernel::clock_source initial_clock, wire_names initial_names,
                        upstream_directory::listener on_upstream_change, kernel::data_centre_name local_data_centre,
                        std::uint64_t selector_seed, kernel::decision_log::options log_options)
        : context{initial_context}, clock{std::move(initial_clock)}, names{std::move(initial_names)},
          upstreams{std::move(on_upstream_change)}, balancer{upstreams, results, std::move(local_data_centre),
                                                             &evacuated},
          service_selector{selector_seed}, log{log_options}
    {
        balancer.set_limit_factor(
            [this](const auto& service, auto now) { return admission.limit_factor(service, now); });
    }

    /// Sends waiting requests as far as there are free slots, and refuses those that can no longer be answered in time.
    /// Called when the queue or the capacity of the service may have changed.
    void serve_queue(const kernel::service_name& service, kernel::time_point now)
    {
        auto& queue = queues[service];
        queue.dispatch(now);
        queue.review(admission.queue_state_of(service, now), now);
    }

    std::shared_ptr<memory_budget> memory = std::make_shared<memory_budget>(default_memory_budget_bytes);
    io_context& context;
    kernel::clock_source clock;
    wire_names names;
    std::shared_ptr<const routing_table> routing;
    configuration_freshness freshness;
    configuration_age_limits age_limits;
    upstream_directory upstreams;
    service_results results;
    evacuations evacuated;
    load_balancer balancer;
    weighted_selector service_selector;
    upstream_connection_pool connections;
    customer_quota quota;
    fleet_retry_budget retry_budget;
    admission_control admission{retry_budget, results, balancer};
    std::map<kernel::service_name, request_queue> queues;
    /// Each connection that closes without a response counts as a crash; the limit is high enough that closings by
    /// chance do not quarantine a request.
    health::quarantine quarantine{3};
    proxy_metrics metrics;
    kernel::decision_log log;
    /// Sends evidence on an exchange to the other hosts, if they need it; the second argument is whether a good answer
    /// was unexpected.
    std::function<void(const shared_evidence&, bool)> share_evidence;
    /// Called when a request of a customer was admitted; reports it to the other hosts if that is urgent.
    std::function<void()> report_admissions;
    stop_plan stop;
    event_loop_delay loop_delay;
    /// Handlers of the requests that have not ended.
    std::unordered_set<request_handler*> active_requests;
};

} // namespace wisterialane::proxy
