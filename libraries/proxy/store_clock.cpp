#include "libraries/proxy/store_clock.h"

#include <algorithm>

namespace wisterialane::proxy {

void store_clock::observe(kernel::time_point sent, store_time read)
{
    const auto epoch = sent - read;
    epoch_ = epoch_ ? std::max(*epoch_, epoch) : epoch;
}

std::optional<kernel::time_point> store_clock::earliest(store_time read) const
{
    return epoch_ ? std::optional{*epoch_ + read} : std::nullopt;
}

void configuration_freshness::confirm(const store_clock& clock, store_time read)
{
    const auto moment = clock.earliest(read);
    if (moment && (!confirmed_ || *confirmed_ < *moment)) {
        confirmed_ = moment;
    }
}

std::optional<kernel::duration> configuration_freshness::age(kernel::time_point now) const
{
    return confirmed_ ? std::optional{now - *confirmed_} : std::nullopt;
}

} // namespace wisterialane::proxy
