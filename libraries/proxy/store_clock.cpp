#include "libraries/proxy/store_clock.h"

#include <algorithm>

namespace wisterialane::proxy {

void store_clock::observe(kernel::time_point sent_at, store_time store_now)
{
    const auto epoch = sent_at - store_now;
    epoch_ = epoch_ ? std::max(*epoch_, epoch) : epoch;
}

std::optional<kernel::time_point> store_clock::earliest(store_time time) const
{
    return epoch_ ? std::optional{*epoch_ + time} : std::nullopt;
}

void configuration_freshness::confirm(const store_clock& clock, store_time store_now)
{
    const auto earliest = clock.earliest(store_now);
    if (earliest && (!confirmed_at_ || *confirmed_at_ < *earliest)) {
        confirmed_at_ = earliest;
    }
}

std::optional<kernel::duration> configuration_freshness::age(kernel::time_point now) const
{
    return confirmed_at_ ? std::optional{now - *confirmed_at_} : std::nullopt;
}

} // namespace wisterialane::proxy
