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
/// among all hosts by `slack_fraction`.
class fleet_retry_budget {
public:
    void configure(retry_allowance allowance) { allowance_ = allowance; }

    /// This host's part of the slack, 0 to 1.
    void set_slack_fraction(double part) { slack_fraction_ = part; }

    /// A request of a caller for this service.
    void record_request(const kernel::service_name& service, kernel::time_point now);

    /// Whether one more retry is within the budget; takes it if so.
    [[nodiscard]] bool try_consume(const kernel::service_name& service, kernel::time_point now);

private:
    struct counters {
        window_counter requests;
        window_counter retries;
    };

    retry_allowance allowance_;
    double slack_fraction_ = 0;
    std::unordered_map<kernel::service_name, counters> services_;
};

/// What decides a host's part of the slack.
struct fleet_position {
    /// Callers are sent to this host.
    bool active = false;
    /// Hosts that callers are sent to, and all others.
    std::size_t active_hosts = 1;
    std::size_t standby_hosts = 0;
    /// Time since the start of the process, which forgets the retries of the process before it.
    kernel::duration uptime{};
};

[[nodiscard]] double slack_fraction(const fleet_position& position);

} // namespace wisterialane::proxy
