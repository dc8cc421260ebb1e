#include "libraries/proxy/proxy_metrics.h"

#include <prometheus/text_serializer.h>

namespace wisterialane::proxy {
namespace {

using seconds = std::chrono::duration<double>;

/// Further customers share one series, which bounds the memory of the registry.
constexpr std::size_t maximum_customer_series = 200;

const prometheus::Histogram::BucketBoundaries& latency_buckets()
{
    static const prometheus::Histogram::BucketBoundaries buckets{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8};
    return buckets;
}

prometheus::Family<prometheus::Counter>& add_counters(prometheus::Registry& registry, const char* name,
                                                      const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge>& add_gauges(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& add_gauge(prometheus::Registry& registry, const char* name, const char* help)
{
    return add_gauges(registry, name, help).Add({});
}

prometheus::Family<prometheus::Histogram>& add_histograms(prometheus::Registry& registry, const char* name,
                                                          const char* help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

} // namespace

proxy_metrics::proxy_metrics()
    : registry_{std::make_shared<prometheus::Registry>()}, requests_{add_counters(*registry_,
                                                                                  "wisterialane_requests_total",
                                                                                  "Requests by outcome")},
      request_times_{add_histograms(*registry_, "wisterialane_request_seconds",
                                    "Time from a request to the end of its handling, by customer")},
      attempts_{add_counters(*registry_, "wisterialane_attempts_total", "Requests sent to upstreams, by outcome")},
      retries_{add_counters(*registry_, "wisterialane_retries_total", "Decisions on second attempts")},
      store_calls_{
          add_counters(*registry_, "wisterialane_store_calls_total", "Calls to the platform's store, by outcome")},
      connection_ends_{add_counters(*registry_, "wisterialane_connections_closed_total",
                                    "Closed connections of callers, by reason")},
      cut_requests_{add_counters(*registry_, "wisterialane_requests_cut_total",
                                 "Requests without a response because their connection was closed, by reason")},
      queue_time_{add_histograms(*registry_, "wisterialane_queue_seconds", "Time that requests waited for an upstream")
                      .Add({}, latency_buckets())},
      pipeline_wait_{add_histograms(*registry_, "wisterialane_pipeline_wait_seconds",
                                    "Time that pipelined requests waited for earlier ones of their connection")
                         .Add({}, latency_buckets())},
      upstreams_{add_gauges(*registry_, "wisterialane_upstreams", "Upstreams by state")},
      cold_upstreams_{add_gauge(*registry_, "wisterialane_upstreams_cold", "Upstreams that are cold")},
      leaving_shares_{add_gauges(*registry_, "wisterialane_spillover_share",
                                 "Share of a service's requests that leaves the data centre, by destination")},
      demand_slots_{add_gauges(*registry_, "wisterialane_placement_demand_slots",
                               "Slots that the callers of a data centre need, as used for the decision")},
      healthy_slots_{add_gauges(*registry_, "wisterialane_placement_healthy_slots",
                                "Slots of the upstreams of a data centre, as used for the decision")},
      waiting_seconds_{add_gauges(*registry_, "wisterialane_placement_waiting_seconds",
                                  "Time that requests wait in a data centre, as used for the decision")},
      input_ages_{add_gauges(*registry_, "wisterialane_placement_input_age_seconds",
                             "Age of the newest report of a data centre")},
      configuration_version_{add_gauge(*registry_, "wisterialane_configuration_version", "Version in force")},
      configuration_age_{add_gauge(*registry_, "wisterialane_configuration_age_seconds",
                                   "Time since the version was known to be the newest")},
      configuration_faults_{
          add_gauge(*registry_, "wisterialane_configuration_faults", "Invalid objects of the version in force")},
      configuration_not_applicable_{add_gauge(*registry_, "wisterialane_configuration_not_applicable",
                                              "1 while the store holds a version that this host cannot apply")},
      quota_starting_{add_gauge(*registry_, "wisterialane_quota_starting",
                                "1 in the first window after a start, in which quotas are limited to what is safe")},
      message_memory_{
          add_gauge(*registry_, "wisterialane_message_memory_bytes", "Memory that requests and responses use")},
      message_memory_capacity_{add_gauge(*registry_, "wisterialane_message_memory_capacity_bytes",
                                         "Memory that requests and responses may use")},
      evacuated_{add_gauges(*registry_, "wisterialane_data_centre_evacuated", "1 while the data centre is evacuated")},
      evacuated_in_flight_{add_gauges(*registry_, "wisterialane_evacuated_requests_in_flight",
                                      "Requests in flight in a data centre that is or was evacuated")},
      evacuations_age_{add_gauge(*registry_, "wisterialane_evacuations_age_seconds",
                                 "Time since the evacuations were last read or relayed")},
      store_era_{add_gauge(*registry_, "wisterialane_store_era", "Era of the store that this host has read")},
      handler_failures_{
          add_counters(*registry_, "wisterialane_handler_failures_total", "Unexpected errors of handlers").Add({})},
      dropped_log_lines_{
          add_gauge(*registry_, "wisterialane_log_lines_left_out", "Log lines left out since the start")},
      peer_datagrams_{add_gauges(*registry_, "wisterialane_peer_datagrams",
                                 "Datagrams exchanged with other hosts since the start, by kind")},
      peer_bytes_{add_gauges(*registry_, "wisterialane_peer_bytes",
                             "Bytes of the datagrams exchanged with other hosts since the start, by kind")},
      left_unused_{add_gauges(*registry_, "wisterialane_upstreams_left_unused",
                              "Trusted upstreams that this host keeps in use and has left without a request for 2 s")},
      event_loop_delay_{add_histograms(*registry_, "wisterialane_event_loop_delay_seconds",
                                       "How late the event loop ran what was due")
                            .Add({}, latency_buckets())},
      active_hosts_{
          add_gauge(*registry_, "wisterialane_active_hosts", "Hosts of the data centre that callers are sent to")},
      remembered_demand_{add_gauge(*registry_, "wisterialane_remembered_demand_cores",
                                   "Highest recent demand of the data centre, in cores")},
      accepted_fraction_{add_gauges(*registry_, "wisterialane_accepted_fraction",
                                    "Fraction of a service's requests that its upstreams accept")},
      limit_factor_{add_gauges(*registry_, "wisterialane_in_flight_limit_factor",
                               "Factor of the limit on a service's requests in flight")},
      less_urgent_weight_{add_gauges(*registry_, "wisterialane_less_urgent_weight",
                                     "Weight of a service's less urgent requests, 1 unless they give way")}
{}

void proxy_metrics::record_request(const kernel::customer_name& customer, std::string_view outcome,
                                   kernel::duration elapsed)
{
    requests_.Add({{"outcome", std::string{outcome}}}).Increment();
    auto found = customer_histograms_.find(customer);
    if (found == customer_histograms_.end()) {
        const bool has_own_series = customer_histograms_.size() < maximum_customer_series;
        const auto label = has_own_series ? customer.value() : std::string{"other"};
        auto& series = request_times_.Add({{"customer", label}}, latency_buckets());
        if (!has_own_series) {
            series.Observe(seconds{elapsed}.count());
            return;
        }
        found = customer_histograms_.emplace(customer, &series).first;
    }
    found->second->Observe(seconds{elapsed}.count());
}

void proxy_metrics::record_attempt(std::string_view outcome)
{
    attempts_.Add({{"outcome", std::string{outcome}}}).Increment();
}

void proxy_metrics::record_retry(std::string_view decision)
{
    retries_.Add({{"decision", std::string{decision}}}).Increment();
}

void proxy_metrics::record_connection_end(std::string_view reason, std::size_t cut_requests)
{
    const prometheus::Labels labels{{"reason", std::string{reason}}};
    connection_ends_.Add(labels).Increment();
    if (cut_requests > 0) {
        cut_requests_.Add(labels).Increment(static_cast<double>(cut_requests));
    }
}

void proxy_metrics::record_handler_failure()
{
    handler_failures_.Increment();
}

void proxy_metrics::record_store_call(std::string_view outcome)
{
    store_calls_.Add({{"outcome", std::string{outcome}}}).Increment();
}

void proxy_metrics::record_queue_time(kernel::duration waited)
{
    queue_time_.Observe(seconds{waited}.count());
}

void proxy_metrics::record_pipeline_wait(kernel::duration waited)
{
    pipeline_wait_.Observe(seconds{waited}.count());
}

void proxy_metrics::set_upstreams(std::string_view state, std::size_t count)
{
    upstreams_.Add({{"state", std::string{state}}}).Set(static_cast<double>(count));
}

void proxy_metrics::set_cold_upstreams(std::size_t count)
{
    cold_upstreams_.Set(static_cast<double>(count));
}

void proxy_metrics::set_placement(const kernel::service_name& service, const spillover_decision& decision,
                                  const std::vector<spillover_input>& inputs, kernel::time_point now)
{
    for (const auto& input : inputs) {
        const prometheus::Labels labels{{"service", service.value()}, {"data_centre", input.data_centre.value()}};
        const auto share = decision.shares.find(input.data_centre);
        leaving_shares_.Add(labels).Set(share == decision.shares.end() ? 0 : share->second);
        demand_slots_.Add(labels).Set(input.demand_slots);
        healthy_slots_.Add(labels).Set(input.healthy_slots);
        waiting_seconds_.Add(labels).Set(seconds{input.waiting}.count());
        const bool reported = input.reported_at != kernel::time_point{};
        input_ages_.Add(labels).Set(reported ? seconds{now - input.reported_at}.count() : -1);
    }
}

void proxy_metrics::set_configuration(kernel::version_number version, kernel::duration age, std::size_t faults)
{
    configuration_faults_.Set(static_cast<double>(faults));
    configuration_version_.Set(static_cast<double>(version.value()));
    configuration_age_.Set(seconds{age}.count());
}

void proxy_metrics::set_configuration_not_applicable(bool not_applicable)
{
    configuration_not_applicable_.Set(not_applicable ? 1 : 0);
}

void proxy_metrics::set_quota_starting(bool starting)
{
    quota_starting_.Set(starting ? 1 : 0);
}

void proxy_metrics::set_message_memory(std::size_t used_bytes, std::size_t capacity_bytes)
{
    message_memory_.Set(static_cast<double>(used_bytes));
    message_memory_capacity_.Set(static_cast<double>(capacity_bytes));
}

void proxy_metrics::set_evacuation(const kernel::data_centre_name& data_centre, bool evacuated, std::size_t in_flight)
{
    const prometheus::Labels labels{{"data_centre", data_centre.value()}};
    evacuated_.Add(labels).Set(evacuated ? 1 : 0);
    evacuated_in_flight_.Add(labels).Set(static_cast<double>(in_flight));
}

void proxy_metrics::set_store_era(store_era era)
{
    store_era_.Set(static_cast<double>(era.value()));
}

void proxy_metrics::set_evacuations_age(kernel::duration age)
{
    evacuations_age_.Set(seconds{age}.count());
}

void proxy_metrics::record_event_loop_delay(kernel::duration delay)
{
    event_loop_delay_.Observe(seconds{delay}.count());
}

void proxy_metrics::set_membership(std::size_t active_hosts, double remembered_demand)
{
    active_hosts_.Set(static_cast<double>(active_hosts));
    remembered_demand_.Set(remembered_demand);
}

void proxy_metrics::set_dropped_log_lines(std::uint64_t count)
{
    dropped_log_lines_.Set(static_cast<double>(count));
}

void proxy_metrics::set_peer_traffic(std::string_view kind, std::uint64_t datagrams, std::uint64_t bytes)
{
    const prometheus::Labels labels{{"kind", std::string{kind}}};
    peer_datagrams_.Add(labels).Set(static_cast<double>(datagrams));
    peer_bytes_.Add(labels).Set(static_cast<double>(bytes));
}

void proxy_metrics::set_left_unused(const kernel::service_name& service, std::size_t upstreams)
{
    left_unused_.Add({{"service", service.value()}}).Set(static_cast<double>(upstreams));
}

void proxy_metrics::set_admission(const kernel::service_name& service, double accepted_fraction, double limit_factor)
{
    const prometheus::Labels labels{{"service", service.value()}};
    accepted_fraction_.Add(labels).Set(accepted_fraction);
    limit_factor_.Add(labels).Set(limit_factor);
}

void proxy_metrics::set_less_urgent_weight(const kernel::service_name& service, double weight)
{
    less_urgent_weight_.Add({{"service", service.value()}}).Set(weight);
}

std::string proxy_metrics::render() const
{
    return prometheus::TextSerializer{}.Serialize(registry_->Collect());
}

} // namespace wisterialane::proxy
