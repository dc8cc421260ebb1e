#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "kernel/service.h"
#include "libraries/metrics/series_selector.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace wisterialane::services {

/// Metrics of this host in the Prometheus text format (docs/METRICS.md). Thread-safe.
class metrics_service : public kernel::service {
public:
    /// Reads a value at the time of a scrape.
    using gauge_source = std::function<double()>;

    metrics_service();

    [[nodiscard]] std::string_view name() const override { return "metrics"; }

    kernel::result<void> start() override { return {}; }

    void stop() override {}

    /// One finished request. `outcome` is `answered` or the reason of the refusal.
    void record_request(const kernel::customer_name& customer, const std::string& metrics_class,
                        std::string_view outcome, kernel::duration latency, kernel::time_point now);

    /// One attempt to run a request on an upstream.
    void record_attempt(std::string_view end);

    /// Registration ends before the services start.
    void add_gauge(const std::string& gauge_name, const std::string& help, gauge_source read);

    /// The metrics as text.
    [[nodiscard]] std::string render(kernel::time_point now);

private:
    struct sampled_gauge {
        prometheus::Gauge& gauge;
        gauge_source read;
    };

    void remove_idle_series(kernel::time_point now);

    std::mutex mutex_;
    metrics::series_selector selector_;
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Histogram>& latencies_;
    prometheus::Family<prometheus::Counter>& outcomes_;
    prometheus::Family<prometheus::Counter>& attempts_;
    std::map<std::string, prometheus::Histogram*> histograms_;
    std::vector<sampled_gauge> gauges_;
};

} // namespace wisterialane::services
