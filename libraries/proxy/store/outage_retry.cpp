#include "libraries/proxy/store/outage_retry.h"

#include <algorithm>
#include <cstdint>

namespace wisterialane::proxy {
namespace {

/// Hosts of a data centre that keep trying. Two of them may be lost at the same time, or be the only ones for which the
/// store remains unavailable.
constexpr std::size_t trying_hosts = 3;
/// Delay of the first host that does not keep trying, and of one behind the last. With 60 such hosts one call is made
/// each third of a second, about as many as by the hosts that keep trying.
constexpr std::chrono::milliseconds shortest_delay{15000};
constexpr std::chrono::milliseconds longest_delay{25000};

} // namespace

std::chrono::milliseconds outage_retry_delay(const data_centre_position& position)
{
    if (position.rank < trying_hosts) {
        return std::chrono::milliseconds{0};
    }
    const auto hosts = static_cast<std::int64_t>(std::max<std::size_t>(1, position.hosts));
    const auto rank = std::min(hosts, static_cast<std::int64_t>(position.rank));
    return shortest_delay + (longest_delay - shortest_delay) * rank / hosts;
}

} // namespace wisterialane::proxy
