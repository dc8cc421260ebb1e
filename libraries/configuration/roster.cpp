#include "libraries/configuration/roster.h"

#include <algorithm>

namespace wisterialane::configuration {

const roster_entry* roster::find(const kernel::instance_id& instance) const
{
    const auto found = std::lower_bound(
        entries.begin(), entries.end(), instance,
        [](const roster_entry& entry, const kernel::instance_id& id) { return entry.instance.value() < id.value(); });
    return found != entries.end() && found->instance == instance ? &*found : nullptr;
}

std::size_t roster::quorum() const
{
    return entries.size() * 3 / 5 + 1;
}

} // namespace wisterialane::configuration
