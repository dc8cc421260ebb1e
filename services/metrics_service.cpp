#include "services/metrics_service.h"

#include <chrono>
#include <cstddef>

#include <prometheus/text_serializer.h>

namespace wisterialane::services {
namespace {

// Histograms of 14 buckets take about 3 KB each as text; 200 keep a scrape below 1 MB.
constexpr std::size_t maximum_customer_series = 200;
constexpr std::chrono::minutes series_idle_limit{10};

const prometheus::Histogram::BucketBoundaries latency_buckets_seconds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                                      0.25,  0.5,    1,     2.5,  5,     10};

} // namespace

metrics_service::metrics_service()
    : selector_{maximum_customer_series, series_idle_limit}, registry_{std::make_shared<prometheus::Registry>()},
      latencies_{prometheus::BuildHistogram()
                     .Name("wisterialane_request_seconds")
                     .Help("Time from a request's head to the end of its answer, by customer or class of customers.")
                     .Register(*registry_)},
      outcomes_{prometheus::BuildCounter()
                    .Name("wisterialane_requests_total")
                    .Help("Finished requests by outcome: answered, or the reason of the refusal.")
                    .Register(*registry_)},
      attempts_{prometheus::BuildCounter()
                    .Name("wisterialane_upstream_attempts_total")
                    .Help("Attempts to run a request on an upstream, by how they ended.")
                    .Register(*registry_)}
{}

void metrics_service::record_request(const kernel::customer_name& customer, const std::string& metrics_class,
                                     std::string_view outcome, kernel::duration latency, kernel::time_point now)
{
    const std::lock_guard lock{mutex_};
    outcomes_.Add({{"outcome", std::string{outcome}}}).Increment();
    const auto label =
        customer.value().empty() ? std::string{"class:open"} : selector_.label_for(customer, metrics_class, now);
    auto& histogram = histograms_[label];
    if (histogram == nullptr) {
        histogram = &latencies_.Add({{"customer", label}}, latency_buckets_seconds);
    }
    histogram->Observe(std::chrono::duration<double>(latency).count());
}

void metrics_service::record_attempt(std::string_view end)
{
    const std::lock_guard lock{mutex_};
    attempts_.Add({{"end", std::string{end}}}).Increment();
}

void metrics_service::add_gauge(const std::string& gauge_name, const std::string& help, gauge_source read)
{
    auto& gauge = prometheus::BuildGauge().Name(gauge_name).Help(help).Register(*registry_).Add({});
    gauges_.push_back({gauge, std::move(read)});
}

std::string metrics_service::render(kernel::time_point now)
{
    for (const auto& sampled : gauges_) {
        sampled.gauge.Set(sampled.read());
    }
    const std::lock_guard lock{mutex_};
    remove_idle_series(now);
    return prometheus::TextSerializer{}.Serialize(registry_->Collect());
}

void metrics_service::remove_idle_series(kernel::time_point now)
{
    for (const auto& customer : selector_.expire(now)) {
        const auto found = histograms_.find(customer.value());
        if (found != histograms_.end()) {
            latencies_.Remove(found->second);
            histograms_.erase(found);
        }
    }
}

} // namespace wisterialane::services
