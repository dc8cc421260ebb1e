#include "libraries/proxy/peer_directory.h"

#include "libraries/proxy/membership/active_selection.h"
#include "libraries/proxy/membership/event_loop_delay.h"
#include "libraries/proxy/membership/host_rank.h"
#include "libraries/proxy/store/forwarding_tree.h"

#include <algorithm>
#include <set>

namespace wisterialane::proxy {
namespace {

/// Hosts that reach the store may use this fraction of their processor time before others are named as well.
constexpr double maximum_utilization_without_others = 0.45;

/// Active hosts that forward the reports of a host of another data centre; one of them may be lost.
constexpr std::size_t forwarding_hosts = 2;

} // namespace

void peer_directory::add(const host_record& record)
{
    if (record.host == options_.self.host) {
        return;
    }
    auto& remote = peers_[record.host];
    remote.name_hash = rank_hash(record.host);
    if (!remote.last_message_at) {
        remote.record = record;
    }
}

peer_directory::state_change peer_directory::record_state(const host_record& record, const host_state& state,
                                                          kernel::time_point now)
{
    state_change result;
    if (record.host == options_.self.host) {
        return result;
    }
    auto& remote = peers_[record.host];
    result.was_silent = !is_live(remote, now);
    result.new_process = remote.state.instance != state.instance;
    auto counts = result.new_process ? admitted_counts{} : std::move(remote.state.admitted);
    for (const auto& [customer, count] : state.admitted) {
        const auto known_count = counts[customer];
        // After a long silence the earlier count is too old to tell how many requests were admitted recently. A process
        // in its first window has admitted all of its requests recently.
        const bool countable = result.new_process ? state.starting || (remote.last_message_at && !result.was_silent)
                                                  : remote.last_message_at && !result.was_silent;
        if (count > known_count && countable) {
            result.newly_admitted[customer] = count - known_count;
        }
        counts[customer] = std::max(known_count, count);
    }
    remote.record = record;
    remote.name_hash = rank_hash(record.host);
    remote.state = state;
    // Not all messages contain counts; the known ones are kept.
    remote.state.admitted = std::move(counts);
    remote.last_message_at = now;
    return result;
}

bool peer_directory::is_live(const peer& remote, kernel::time_point now) const
{
    return remote.last_message_at && now - *remote.last_message_at <= options_.silence_timeout;
}

peer_directory::candidate peer_directory::own_candidate() const
{
    return {&options_.self, delay_, rank_hash(options_.self.host), reaches_store_};
}

std::vector<const host_record*> peer_directory::select(std::vector<candidate> candidates,
                                                       const kernel::data_centre_name& data_centre,
                                                       kernel::time_point now) const
{
    std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
        return ranks_before(*left.record, left.name_hash, *right.record, right.name_hash);
    });
    std::vector<active_candidate> capacities;
    capacities.reserve(candidates.size());
    for (const auto& each : candidates) {
        capacities.push_back({request_cores(each.record->processor_cores), usable_fraction(each.delay)});
    }
    std::vector<const host_record*> selected;
    for (const auto position :
         select_active_hosts(capacities, demand_in(data_centre, now), options_.hosts_per_data_centre)) {
        selected.push_back(candidates[position].record);
    }
    return selected;
}

std::vector<const host_record*> peer_directory::active_hosts_in(const kernel::data_centre_name& data_centre,
                                                                kernel::time_point now) const
{
    std::vector<candidate> ready;
    if (ready_ && data_centre == options_.self.data_centre) {
        ready.push_back(own_candidate());
    }
    for (const auto& [name, remote] : peers_) {
        if (remote.record.data_centre == data_centre && remote.state.ready && is_live(remote, now)) {
            ready.push_back({&remote.record, remote.state.delay, remote.name_hash, remote.state.reaches_store});
        }
    }
    return select(prefer_store_path(std::move(ready), demand_in(data_centre, now)), data_centre, now);
}

// A host that relies on relays alone cannot tell how long the store has been out of its reach, and refuses requests
// with keys when the relays end. So it gets callers only if the others cannot carry them.
std::vector<peer_directory::candidate> peer_directory::prefer_store_path(std::vector<candidate> ready, double demand)
{
    std::vector<candidate> with_path;
    double cores = 0;
    for (const auto& each : ready) {
        if (each.reaches_store) {
            with_path.push_back(each);
            cores += request_cores(each.record->processor_cores) * usable_fraction(each.delay);
        }
    }
    if (with_path.empty() || cores * maximum_utilization_without_others < demand) {
        return ready;
    }
    return with_path;
}

std::size_t peer_directory::active_host_count(kernel::time_point now) const
{
    return active_hosts_in(options_.self.data_centre, now).size();
}

std::vector<kernel::data_centre_name> peer_directory::data_centres() const
{
    std::set<kernel::data_centre_name> names{options_.self.data_centre};
    for (const auto& [name, remote] : peers_) {
        names.insert(remote.record.data_centre);
    }
    return {names.begin(), names.end()};
}

std::vector<kernel::socket_address> peer_directory::caller_addresses_for(const kernel::data_centre_name& data_centre,
                                                                         kernel::time_point now) const
{
    auto active_hosts = active_hosts_in(data_centre, now);
    if (active_hosts.empty() && data_centre != options_.self.data_centre) {
        active_hosts = active_hosts_in(options_.self.data_centre, now);
    }
    if (active_hosts.empty()) {
        for (const auto& other_data_centre : data_centres()) {
            const auto active_there = active_hosts_in(other_data_centre, now);
            active_hosts.insert(active_hosts.end(), active_there.begin(), active_there.end());
        }
    }
    std::vector<kernel::socket_address> addresses;
    addresses.reserve(active_hosts.size() + 1);
    for (const auto* record : active_hosts) {
        addresses.push_back(record->caller_address);
    }
    if (addresses.empty()) {
        addresses.push_back(options_.self.caller_address);
    }
    return addresses;
}

bool peer_directory::is_active(kernel::time_point now) const
{
    const auto active_hosts = active_hosts_in(options_.self.data_centre, now);
    return std::find(active_hosts.begin(), active_hosts.end(), &options_.self) != active_hosts.end();
}

std::optional<active_position> peer_directory::position(kernel::time_point now) const
{
    std::vector<const host_record*> active_hosts;
    for (const auto& data_centre : data_centres()) {
        const auto active_there = active_hosts_in(data_centre, now);
        active_hosts.insert(active_hosts.end(), active_there.begin(), active_there.end());
    }
    const auto self = std::find(active_hosts.begin(), active_hosts.end(), &options_.self);
    if (self == active_hosts.end()) {
        return std::nullopt;
    }
    return active_position{static_cast<std::size_t>(self - active_hosts.begin()), active_hosts.size()};
}

double peer_directory::measured_demand(const kernel::data_centre_name& data_centre, kernel::time_point now) const
{
    double demand = data_centre == options_.self.data_centre ? load_ * options_.self.processor_cores : 0;
    for (const auto& [name, remote] : peers_) {
        if (remote.record.data_centre == data_centre && is_live(remote, now)) {
            demand += remote.state.load * remote.record.processor_cores;
        }
    }
    return demand;
}

void peer_directory::remember_demand(kernel::time_point now)
{
    for (const auto& data_centre : data_centres()) {
        demands_[data_centre].record(measured_demand(data_centre, now), now);
    }
}

double peer_directory::remembered_demand(kernel::time_point now) const
{
    const auto found = demands_.find(options_.self.data_centre);
    return found == demands_.end() ? 0 : found->second.level(now);
}

double peer_directory::demand_in(const kernel::data_centre_name& data_centre, kernel::time_point now) const
{
    const auto found = demands_.find(data_centre);
    const double remembered = found == demands_.end() ? 0 : found->second.level(now);
    return std::max({measured_demand(data_centre, now), remembered, expected_demand_});
}

std::size_t peer_directory::expected_active_hosts_in(const kernel::data_centre_name& data_centre,
                                                     kernel::time_point now) const
{
    std::vector<candidate> known;
    if (data_centre == options_.self.data_centre) {
        known.push_back(own_candidate());
    }
    for (const auto& [name, remote] : peers_) {
        if (remote.record.data_centre == data_centre) {
            known.push_back({&remote.record, remote.state.delay, remote.name_hash, remote.state.reaches_store});
        }
    }
    // While strong hosts are silent, more of the others are active.
    return std::max(select(std::move(known), data_centre, now).size(), active_hosts_in(data_centre, now).size());
}

std::size_t peer_directory::expected_active_hosts(kernel::time_point now) const
{
    std::size_t count = 0;
    for (const auto& data_centre : data_centres()) {
        count += expected_active_hosts_in(data_centre, now);
    }
    return count;
}

std::size_t peer_directory::quota_share_divisor(kernel::time_point now) const
{
    return data_centres().size() * std::max<std::size_t>(1, expected_active_hosts_in(options_.self.data_centre, now));
}

bool peer_directory::has_newly_silent_peer(kernel::time_point now) const
{
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const auto& remote = entry.second;
        return remote.state.ready && !remote.state.admitted.empty() && remote.last_message_at &&
               !is_live(remote, now) && now - *remote.last_message_at < 4 * options_.silence_timeout;
    });
}

bool peer_directory::hears_data_centre() const
{
    std::size_t known = 0;
    std::size_t heard = 0;
    for (const auto& [name, remote] : peers_) {
        if (remote.record.data_centre == options_.self.data_centre) {
            ++known;
            heard += remote.last_message_at ? 1 : 0;
        }
    }
    return 2 * heard >= known;
}

std::size_t peer_directory::starting_hosts(kernel::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return entry.second.state.starting && is_live(entry.second, now);
    }));
}

bool peer_directory::is_store_reader(kernel::time_point now) const
{
    return reaches_store_ && std::none_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
               const auto& remote = entry.second;
               return remote.record.data_centre == options_.self.data_centre && remote.state.reaches_store &&
                      is_live(remote, now) &&
                      ranks_before(remote.record, remote.name_hash, options_.self, rank_hash(options_.self.host));
           });
}

bool peer_directory::is_store_reached_nearby(kernel::time_point now) const
{
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const auto& remote = entry.second;
        return remote.record.data_centre == options_.self.data_centre && remote.state.reaches_store &&
               is_live(remote, now);
    });
}

data_centre_position peer_directory::position_in_data_centre(kernel::time_point now) const
{
    data_centre_position position;
    for (const auto& [name, remote] : peers_) {
        if (remote.record.data_centre == options_.self.data_centre && is_live(remote, now)) {
            ++position.hosts;
            position.rank += ranks_before(remote.record, options_.self) ? 1 : 0;
        }
    }
    return position;
}

std::vector<kernel::socket_address> peer_directory::forwarding_addresses(const kernel::host_name& source,
                                                                         kernel::time_point now) const
{
    std::vector<const host_record*> ranked{&options_.self};
    for (const auto& [name, remote] : peers_) {
        if (remote.record.data_centre == options_.self.data_centre && is_live(remote, now)) {
            ranked.push_back(&remote.record);
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto* left, const auto* right) { return ranks_before(*left, *right); });
    const auto place_of = [&ranked](const kernel::host_name& host) {
        const auto found =
            std::find_if(ranked.begin(), ranked.end(), [&host](const auto* record) { return record->host == host; });
        return static_cast<std::size_t>(found - ranked.begin());
    };
    std::vector<kernel::socket_address> addresses;
    const auto root = place_of(source);
    if (root == ranked.size()) {
        return addresses;
    }
    for (const auto place : forwarding_targets(ranked.size(), root, place_of(options_.self.host))) {
        addresses.push_back(ranked[place]->peer_address);
    }
    return addresses;
}

bool peer_directory::forwards_for(const kernel::host_name& sender, kernel::time_point now) const
{
    const auto active_hosts = active_hosts_in(options_.self.data_centre, now);
    const auto self = std::find(active_hosts.begin(), active_hosts.end(), &options_.self);
    if (self == active_hosts.end()) {
        return false;
    }
    const auto hosts = active_hosts.size();
    const auto position = static_cast<std::size_t>(self - active_hosts.begin());
    const auto first = static_cast<std::size_t>(rank_hash(sender) % hosts);
    return (position + hosts - first) % hosts < forwarding_hosts;
}

std::vector<kernel::socket_address> peer_directory::data_centre_peer_addresses() const
{
    std::vector<kernel::socket_address> addresses;
    for (const auto& [name, remote] : peers_) {
        if (remote.record.data_centre == options_.self.data_centre) {
            addresses.push_back(remote.record.peer_address);
        }
    }
    return addresses;
}

std::vector<kernel::socket_address> peer_directory::recipient_addresses(kernel::time_point now) const
{
    auto addresses = data_centre_peer_addresses();
    for (const auto& data_centre : data_centres()) {
        if (data_centre == options_.self.data_centre) {
            continue;
        }
        for (const auto* record : active_hosts_in(data_centre, now)) {
            addresses.push_back(record->peer_address);
        }
    }
    return addresses;
}

std::vector<kernel::socket_address> peer_directory::all_peer_addresses() const
{
    std::vector<kernel::socket_address> addresses;
    for (const auto& [name, remote] : peers_) {
        addresses.push_back(remote.record.peer_address);
    }
    return addresses;
}

} // namespace wisterialane::proxy
