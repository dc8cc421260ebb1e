#pragma once

#include "libraries/proxy/window_counter.h"

#include <cstddef>

namespace wisterialane::proxy {

/// Measures the load of this host: the processor time that the requests of its callers take, as a fraction of the
/// host's processor time.
class host_load {
public:
    explicit host_load(double processor_cores) : processor_cores_{processor_cores} {}

    void record_request(kernel::time_point now) { requests_.add(now); }

    /// The load of the last one to two seconds; above 1 when overloaded.
    [[nodiscard]] double value(kernel::time_point now) const;

private:
    double processor_cores_;
    window_counter requests_;
};

/// Returns the processor time, in cores, that the callers of one data centre are expected to need while a process has
/// not yet measured or heard of their requests; 0 when it has run long enough.
///
/// @param slots slots of all upstreams, from which the demand is estimated.
[[nodiscard]] double forecast_demand(kernel::duration uptime, std::size_t slots, std::size_t data_centres);

} // namespace wisterialane::proxy
