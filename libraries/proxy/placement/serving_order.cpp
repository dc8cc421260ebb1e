#include "libraries/proxy/placement/serving_order.h"

#include "libraries/proxy/membership/host_rank.h"

#include <algorithm>
#include <array>
#include <chrono>

#include <xxhash.h>

namespace wisterialane::proxy {
namespace {

/// Hosts report twice a second.
constexpr kernel::duration list_lifetime = std::chrono::milliseconds{100};
/// Hosts with less than this fraction of the requests of the busiest one seldom have a request when one is due.
constexpr double least_fraction_of_busiest = 0.25;

std::uint64_t place_hash(std::uint64_t host_hash, std::uint64_t upstream_hash)
{
    const std::array<std::uint64_t, 2> both{host_hash, upstream_hash};
    return ::XXH64(both.data(), sizeof both, 0);
}

} // namespace

void serving_order::set_host(const kernel::host_name& host, const kernel::data_centre_name& data_centre)
{
    own_hash_ = rank_hash(host);
    own_data_centre_ = data_centre;
}

bool serving_order::is_first(const upstream_record& upstream, const std::vector<kernel::host_name>& unreachable_from,
                             kernel::time_point now)
{
    const auto& known = other_hosts(upstream.service, now);
    const auto there = known.by_data_centre.find(upstream.data_centre);
    const bool has_hosts_there = there != known.by_data_centre.end();
    const bool is_local = upstream.data_centre == own_data_centre_;
    if (!is_local && has_hosts_there) {
        return false;
    }
    if (is_local && !has_hosts_there) {
        return true;
    }
    std::vector<std::uint64_t> left_out;
    left_out.reserve(unreachable_from.size());
    for (const auto& host : unreachable_from) {
        left_out.push_back(rank_hash(host));
    }
    const auto& name = upstream.id.value();
    const auto upstream_hash = ::XXH64(name.data(), name.size(), 0);
    const auto own = place_hash(own_hash_, upstream_hash);
    const auto& hosts = is_local ? there->second : known.all;
    return std::none_of(hosts.begin(), hosts.end(), [&](auto host) {
        return place_hash(host, upstream_hash) < own &&
               std::find(left_out.begin(), left_out.end(), host) == left_out.end();
    });
}

const serving_order::serving_hosts& serving_order::other_hosts(const kernel::service_name& service,
                                                               kernel::time_point now)
{
    auto& known = known_[service];
    if (known.read_at != kernel::time_point::min() && now - known.read_at < list_lifetime) {
        return known;
    }
    known = {};
    known.read_at = now;
    for (const auto& host : results_.serving_hosts(service, least_fraction_of_busiest)) {
        const auto hash = rank_hash(host);
        known.all.push_back(hash);
        if (const auto* data_centre = reports_.data_centre_of(host)) {
            known.by_data_centre[*data_centre].push_back(hash);
        }
    }
    return known;
}

} // namespace wisterialane::proxy
