#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/window_counter.h"

#include <cstddef>
#include <unordered_map>

namespace wisterialane::proxy {

/// Limits of the retries that all hosts together may send to a service.
struct retry_allowance {
    /// Retries per request of the window.
    double ratio = 0.2;
    /// Further retries per window, for all hosts together.
    double slack = 50;
};

/// This host's share of the retry budget of each service. The ratio limits each host on its own; the slack is divided
/// among all hosts by `slack_fraction`.
class fleet_retry_budget {
public:
    void configure(retry_allowance allowance) { allowance_ = allowance; }

    /// Sets this host's fraction of the slack, 0 to 1.
    void set_slack_fraction(double fraction) { slack_fraction_ = fraction; }

    /// Records a caller's request for this service.
    void record_request(const kernel::service_name& service, kernel::time_point now);

    /// Takes one retry from the budget. Returns false if the budget is used up.
    [[nodiscard]] bool try_consume(const kernel::service_name& service, kernel::time_point now);

private:
    struct service_counters {
        window_counter requests;
        window_counter retries;
    };

    retry_allowance allowance_;
    double slack_fraction_ = 0;
    std::unordered_map<kernel::service_name, service_counters> services_;
};

/// A host's position in the fleet, which determines its fraction of the slack.
struct fleet_position {
    /// Whether this host's address is given to callers.
    bool active = false;
    std::size_t active_hosts = 1;
    std::size_t standby_hosts = 0;
    /// Time since the start of the process, which knows nothing of the retries of the previous process.
    kernel::duration uptime{};
};

/// The fraction of the slack, 0 to 1, that a host at this position may use.
[[nodiscard]] double slack_fraction(const fleet_position& position);

} // namespace wisterialane::proxy
