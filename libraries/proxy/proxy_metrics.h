#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/placement/spillover.h"
#include "libraries/proxy/store/store_position.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace wisterialane::proxy {

/// Counters, gauges and latency histograms of the process, in Prometheus format.
class proxy_metrics {
public:
    proxy_metrics();

    /// Records a completed request of a customer; `outcome` is one of a fixed set of names.
    void record_request(const kernel::customer_name& customer, std::string_view outcome, kernel::duration elapsed);

    void record_attempt(std::string_view outcome);

    /// Records whether a request was sent again, or why not.
    void record_retry(std::string_view decision);
    /// Records the end of a caller's connection, and the requests that got no response because of it.
    void record_connection_end(std::string_view reason, std::size_t cut_requests);
    /// Records an unexpected error of a handler of the event loop.
    void record_handler_failure();
    void record_store_call(std::string_view outcome);
    void record_queue_time(kernel::duration waited);
    /// Records the time that a pipelined request waited for earlier ones of its connection.
    void record_pipeline_wait(kernel::duration waited);
    void set_upstreams(std::string_view state, std::size_t count);
    void set_cold_upstreams(std::size_t count);
    /// Sets what decides where the requests of a service are served, and the share that leaves this data centre.
    void set_placement(const kernel::service_name& service, const spillover_decision& decision,
                       const std::vector<spillover_input>& inputs, kernel::time_point now);
    /// Sets the version in force, its age, and the number of its invalid objects.
    void set_configuration(kernel::version_number version, kernel::duration age, std::size_t faults);
    /// Sets whether the store holds a version that this host cannot apply.
    void set_configuration_not_applicable(bool not_applicable);
    /// `starting`: whether quotas are in the first window after a start that is not a bootstrap.
    void set_quota_starting(bool starting);
    /// Sets the memory that messages use, and the part of the process's memory that they may use.
    void set_message_memory(std::size_t used_bytes, std::size_t capacity_bytes);
    /// Sets whether the data centre is evacuated, and this host's requests in flight there.
    void set_evacuation(const kernel::data_centre_name& data_centre, bool evacuated, std::size_t in_flight);
    void set_store_era(store_era era);
    /// Sets the time since the evacuations were last read or relayed.
    void set_evacuations_age(kernel::duration age);
    /// Records how late the event loop ran something.
    void record_event_loop_delay(kernel::duration delay);
    /// Sets the number of active hosts of this host's data centre and their remembered demand, in cores.
    void set_membership(std::size_t active_hosts, double remembered_demand);
    void set_dropped_log_lines(std::uint64_t count);

    /// Datagrams of one kind that were exchanged with other hosts since the start.
    void set_peer_traffic(std::string_view kind, std::uint64_t datagrams, std::uint64_t bytes);

    /// Trusted upstreams of a service that this host keeps in use and that have had no request of it for two seconds.
    void set_left_unused(const kernel::service_name& service, std::size_t upstreams);
    /// Sets the accepted fraction of a service's requests and the factor of the limit on its requests in flight.
    void set_admission(const kernel::service_name& service, double accepted_fraction, double limit_factor);
    /// Sets the part that less urgent requests of a service keep.
    void set_less_urgent_weight(const kernel::service_name& service, double weight);

    /// Returns all series in the Prometheus text format.
    [[nodiscard]] std::string render() const;

private:
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Histogram>& request_times_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Family<prometheus::Counter>& retries_;
    prometheus::Family<prometheus::Counter>& store_calls_;
    prometheus::Family<prometheus::Counter>& connection_ends_;
    prometheus::Family<prometheus::Counter>& cut_requests_;
    prometheus::Histogram& queue_time_;
    prometheus::Histogram& pipeline_wait_;
    prometheus::Family<prometheus::Gauge>& upstreams_;
    prometheus::Gauge& cold_upstreams_;
    prometheus::Family<prometheus::Gauge>& leaving_shares_;
    prometheus::Family<prometheus::Gauge>& demand_slots_;
    prometheus::Family<prometheus::Gauge>& healthy_slots_;
    prometheus::Family<prometheus::Gauge>& waiting_seconds_;
    prometheus::Family<prometheus::Gauge>& input_ages_;
    prometheus::Gauge& configuration_version_;
    prometheus::Gauge& configuration_age_;
    prometheus::Gauge& configuration_faults_;
    prometheus::Gauge& configuration_not_applicable_;
    prometheus::Gauge& quota_starting_;
    prometheus::Gauge& message_memory_;
    prometheus::Gauge& message_memory_capacity_;
    prometheus::Family<prometheus::Gauge>& evacuated_;
    prometheus::Family<prometheus::Gauge>& evacuated_in_flight_;
    prometheus::Gauge& evacuations_age_;
    prometheus::Gauge& store_era_;
    prometheus::Counter& handler_failures_;
    prometheus::Gauge& dropped_log_lines_;
    prometheus::Family<prometheus::Gauge>& peer_datagrams_;
    prometheus::Family<prometheus::Gauge>& peer_bytes_;
    prometheus::Family<prometheus::Gauge>& left_unused_;
    prometheus::Histogram& event_loop_delay_;
    prometheus::Gauge& active_hosts_;
    prometheus::Gauge& remembered_demand_;
    prometheus::Family<prometheus::Gauge>& accepted_fraction_;
    prometheus::Family<prometheus::Gauge>& limit_factor_;
    prometheus::Family<prometheus::Gauge>& less_urgent_weight_;
    std::map<kernel::customer_name, prometheus::Histogram*> customer_histograms_;
};

} // namespace wisterialane::proxy
