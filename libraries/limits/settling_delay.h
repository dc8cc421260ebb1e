#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"

#include <deque>

namespace wisterialane::limits {

/// Delays settled versions by the time that a loan may run. Until a version settles, a host may still lend from its
/// share in the version before; that loan is in use for up to a loan duration afterwards. A share that grew may
/// therefore be used only when those loans have ended too.
class settling_delay {
public:
    /// Takes the version that has settled by `now`; returns the newest one that was given at least `lender_duration`
    /// ago, or 0.
    kernel::version_number update(kernel::version_number settled, kernel::time_point now);

private:
    struct observation {
        kernel::version_number version;
        kernel::time_point since;
    };

    kernel::version_number delayed_;
    std::deque<observation> waiting_;
};

} // namespace wisterialane::limits
