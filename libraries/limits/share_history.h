#pragma once

#include "kernel/identifiers.h"
#include "libraries/limits/loan.h"

#include <vector>

namespace wisterialane::limits {

/// This host's share of one customer in the configuration versions that some host may still act on.
///
/// Hosts see versions and their settling at different times. At any moment there is a newest version that has settled
/// anywhere; it lies between the settled and the current version of every host that acts. The smallest share in that
/// range is at most the share in that one version, so the usable shares of all hosts add up to at most its limit. The
/// two ends of the range do not suffice: a share that was moved away and back would be used twice.
class share_history {
public:
    /// Versions come in increasing order. Versions before the first recorded one count as no share.
    void record(kernel::version_number version, const capacity& share);

    /// The smallest share in any version from `settled` to the newest, each component on its own. Forgets the versions
    /// before `settled`, which never decreases.
    capacity usable(kernel::version_number settled);

private:
    struct entry {
        kernel::version_number since;
        capacity share;
    };

    std::vector<entry> entries_;
};

} // namespace wisterialane::limits
