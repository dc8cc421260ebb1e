#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/window_counter.h"

#include <cstddef>
#include <unordered_map>

namespace wisterialane::proxy {

/// Bounds of the retries that all hosts together may send to a service.
struct retry_allowance {
    /// Retries for each request of the window.
    double ratio = 0.2;
    /// Retries of the window beyond the ratio, over all hosts.
    double slack = 50;
};

/// This host's part of the retry budget of each service. The ratio binds each host by itself; the slack is split
/// among the hosts that take requests.
class fleet_retry_budget {
public:
    void configure(retry_allowance allowance) { allowance_ = allowance; }

    /// `hosts` take requests now, this one included.
    void set_host_count(std::size_t hosts) { hosts_ = hosts; }

    /// A request of a caller for this service.
    void record_request(const kernel::service_name& service, kernel::time_point now);

    /// Whether one more retry is within the budget; takes it if so.
    [[nodiscard]] bool try_retry(const kernel::service_name& service, kernel::time_point now);

private:
    struct counters {
        window_counter requests;
        window_counter retries;
    };

    retry_allowance allowance_;
    std::size_t hosts_ = 1;
    std::unordered_map<kernel::service_name, counters> services_;
};

} // namespace wisterialane::proxy
