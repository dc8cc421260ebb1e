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
#include "libraries/proxy/upstream_connections.h"
#include "libraries/proxy/upstream_directory.h"
#include "libraries/proxy/weighted_selector.h"
#include "libraries/proxy/window_counter.h"
#include "libraries/proxy/wire_names.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_set>

namespace wisterialane::proxy {

class request_flow;

/// Bounds on the age of the configuration by which requests are decided.
struct authority_bounds {
    /// A withdrawn key must not be served for longer; requests with a key need a younger confirmation.
    kernel::duration key_withdrawal = std::chrono::seconds{5};
    /// Unknown keys and routes are refused for good only with a younger confirmation.
    kernel::duration denial = std::chrono::seconds{2};
};

/// What the requests of a host share. Used on the proxy's thread only.
struct flow_environment {
    flow_environment(io_context& use_context, kernel::clock_source use_clock, wire_names use_names,
                     upstream_directory::listener notify, kernel::data_centre_name here, std::uint64_t seed,
                     kernel::decision_log::options log_options)
        : context{use_context}, clock{std::move(use_clock)}, names{std::move(use_names)}, upstreams{std::move(notify)},
          balancer{upstreams, results, std::move(here)}, weights{seed}, log{log_options}
    {}

    io_context& context;
    kernel::clock_source clock;
    wire_names names;
    std::shared_ptr<const routing_table> routing;
    configuration_freshness confirmed;
    authority_bounds bounds;
    upstream_directory upstreams;
    service_results results;
    load_balancer balancer;
    weighted_selector weights;
    upstream_connections connections;
    customer_quota quota;
    fleet_retry_budget retries;
    std::map<kernel::service_name, request_queue> lines;
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
    window_counter requests;
    /// Requests that are being served.
    std::unordered_set<request_flow*> running;
};

} // namespace wisterialane::proxy
