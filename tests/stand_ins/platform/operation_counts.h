#pragma once

#include <cstdint>

namespace wisterialane::stand_ins {

/// Operations that arrived at the platform, whether they had an effect or not.
struct operation_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

} // namespace wisterialane::stand_ins
