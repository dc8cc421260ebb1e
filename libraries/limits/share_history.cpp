#include "libraries/limits/share_history.h"

#include "libraries/limits/capacity_arithmetic.h"

#include <algorithm>
#include <iterator>

namespace wisterialane::limits {

void share_history::record(kernel::version_number version, const capacity& share)
{
    if (entries_.empty() || (entries_.back().share != share && entries_.back().since.value() < version.value())) {
        entries_.push_back({version, share});
    }
}

capacity share_history::usable(kernel::version_number settled)
{
    const auto later = std::upper_bound(entries_.begin(), entries_.end(), settled, [](auto version, const entry& item) {
        return version.value() < item.since.value();
    });
    if (later == entries_.begin()) {
        return {};
    }
    entries_.erase(entries_.begin(), std::prev(later));
    auto smallest = entries_.front().share;
    for (const auto& item : entries_) {
        smallest = smaller(smallest, item.share);
    }
    return smallest;
}

} // namespace wisterialane::limits
