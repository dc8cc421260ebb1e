#pragma once

#include "libraries/proxy/membership/report_limit.h"
#include "libraries/proxy/request_environment.h"

#include <vector>

namespace wisterialane::proxy {

/// Applies the evidence that other hosts report to what this host knows of the upstreams.
class evidence_receiver {
public:
    explicit evidence_receiver(request_environment& environment) : environment_{environment} {}

    /// @param serves_callers whether this host is active. A host that is not learns the same, as it may become active
    /// in the next second, but it writes one line per second on all upstreams instead of one on each.
    void apply(const kernel::host_name& from, const std::vector<shared_evidence>& evidence, bool serves_callers,
               kernel::time_point now);

private:
    void record_outcome(const kernel::host_name& from, const shared_evidence& evidence, bool serves_callers,
                        kernel::time_point now);

    request_environment& environment_;
    report_limit suspected_;
    report_limit trusted_;
};

} // namespace wisterialane::proxy
