#pragma once

#include "kernel/strong_type.h"

#include <cstdint>
#include <tuple>

namespace wisterialane::proxy {

/// Number of an epoch of the store. It rises by one each time the store comes back from an older copy.
using store_era = kernel::strong_type<struct store_era_tag, std::uint64_t>;

/// Position in the store's change history; increases with each change of an era. Each era issues its revisions anew.
using store_revision = kernel::strong_type<struct store_revision_tag, std::uint64_t>;

/// A revision of one era. Positions of a later era come after all positions of an earlier one.
struct store_position {
    store_era era;
    store_revision revision;

    friend bool operator<(const store_position& left, const store_position& right)
    {
        return std::tie(left.era, left.revision) < std::tie(right.era, right.revision);
    }

    friend bool operator==(const store_position&, const store_position&) = default;
};

} // namespace wisterialane::proxy
