#pragma once

#include "kernel/identifiers.h"

#include <cstddef>
#include <vector>

namespace wisterialane::configuration {

enum class version_state { unknown, committed, accepted };

/// How far a version has spread, as seen by one host.
struct version_progress {
    kernel::version_number version;
    version_state state = version_state::unknown;
    std::size_t holders = 0;
    std::size_t roster_size = 0;
    /// Hosts of the roster that are not known to hold the version.
    std::vector<kernel::host_name> lagging;
};

} // namespace wisterialane::configuration
