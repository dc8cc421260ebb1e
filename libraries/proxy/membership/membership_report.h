#pragma once

#include "kernel/decision_log.h"
#include "libraries/proxy/proxy_metrics.h"

#include <cstddef>

namespace wisterialane::proxy {

/// What decides how many hosts of a data centre callers are sent to.
struct membership_view {
    std::size_t active_hosts = 0;
    /// The remembered demand of the data centre, in cores.
    double remembered_demand = 0;
    /// The delay that this host reports.
    kernel::duration delay{};
};

/// Logs and exports the number of active hosts of this host's data centre and the delay of its event loop.
class membership_report {
public:
    membership_report(proxy_metrics& metrics, kernel::decision_log& log) : metrics_{metrics}, log_{log} {}

    void update(const membership_view& view, kernel::time_point now);

private:
    proxy_metrics& metrics_;
    kernel::decision_log& log_;
    std::size_t active_hosts_ = 0;
    bool late_ = false;
};

} // namespace wisterialane::proxy
