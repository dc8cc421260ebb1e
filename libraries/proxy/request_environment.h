#pragma once

#include "kernel/decision_log.h"
#include "libraries/health/quarantine.h"
#include "libraries/proxy/customer_quota.h"
#include "libraries/proxy/fleet_retry_budget.h"
#include "libraries/proxy/load_balancer.h"
#include "libraries/proxy/peer_message.h"
#include "libraries/proxy/proxy_metrics.h"
#include "libraries/proxy/request_queue.h"
#include "libraries/proxy/routing_table.h"
#include "libraries/proxy/stop_plan.h"
#include "libraries/proxy/store_clock.h"
#include "libraries/proxy/upstream_connection_pool.h"
#include "libraries/proxy/upstream_directory.h"
#include "libraries/proxy/weighted_selector.h"
#include "libraries/proxy/window_counter.h"
#include "libraries/proxy/wire_names.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_set>

namespace wisterialane::proxy {

class request_handler;

/// Bounds on the age of the configuration by which requests are decided.
struct configuration_age_limits {
    /// A withdrawn key must not be served for longer; requests with a key need a younger confirmation.
    kernel::duration key_revocation = std::chrono::seconds{5};
    /// Unknown keys and routes are refused for good only with a younger confirmation.
    kernel::duration definitive_refusal = std::chrono::seconds{2};
};

/// What the requests of a host share. Used on the proxy's thread only.
struct request_environment {
    request_environment(io_context& initial_context, kernel::clock_source initial_clock, wire_names initial_names,
                        upstream_directory::listener notify, kernel::data_centre_name here, std::uint64_t seed,
                        kernel::decision_log::options log_options)
        : context{initial_context}, clock{std::move(initial_clock)}, names{std::move(initial_names)},
          upstreams{std::move(notify)}, balancer{upstreams, results, std::move(here)},
          service_selector{seed}, log{log_options}
    {}

    io_context& context;
    kernel::clock_source clock;
    wire_names names;
    std::shared_ptr<const routing_table> routing;
    configuration_freshness freshness;
    configuration_age_limits age_limits;
    upstream_directory upstreams;
    service_results results;
    load_balancer balancer;
    weighted_selector service_selector;
    upstream_connection_pool connections;
    customer_quota quota;
    fleet_retry_budget retry_budget;
    std::map<kernel::service_name, request_queue> queues;
    /// Connections that close without an answer count as crashes, so that chance alone must not reach the number.
    health::quarantine quarantine{3};
    proxy_metrics metrics;
    kernel::decision_log log;
    /// Tells the other hosts of a failure.
    std::function<void(shared_evidence)> share_evidence;
    /// A request of a customer was admitted; the other hosts may have to know at once.
    std::function<void()> report_admissions;
    stop_plan stop;
    /// Requests of callers that have arrived.
    window_counter received_requests;
    /// Requests that are being served.
    std::unordered_set<request_handler*> active_requests;
};

} // namespace wisterialane::proxy
