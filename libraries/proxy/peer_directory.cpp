#include "libraries/proxy/peer_directory.h"

#include <algorithm>
#include <cmath>
#include <set>

#include <xxhash.h>

namespace wisterialane::proxy {
namespace {

/// Hosts that take callers should use this part of their processor share, so that a burst or the loss of one of them
/// can be borne.
constexpr double target_load = 0.3;

bool ranks_before(const host_record& left, const host_record& right)
{
    const auto hash = [](const host_record& record) {
        const auto& name = record.host.value();
        return ::XXH64(name.data(), name.size(), 0);
    };
    if (left.processor_cores != right.processor_cores) {
        return left.processor_cores > right.processor_cores;
    }
    return hash(left) < hash(right);
}

void sort_by_rank(std::vector<const host_record*>& records)
{
    std::sort(records.begin(), records.end(),
              [](const auto* left, const auto* right) { return ranks_before(*left, *right); });
}

} // namespace

void peer_directory::add(const host_record& record)
{
    if (record.host == use_.self.host) {
        return;
    }
    auto& item = peers_[record.host];
    if (!item.heard) {
        item.record = record;
    }
}

peer_directory::state_change peer_directory::record_state(const host_record& record, const host_state& state,
                                                          kernel::time_point now)
{
    state_change result;
    if (record.host == use_.self.host) {
        return result;
    }
    auto& item = peers_[record.host];
    result.was_silent = !is_live(item, now);
    result.new_process = item.state.instance != state.instance;
    auto counts = result.new_process ? admitted_counts{} : std::move(item.state.admitted);
    for (const auto& [customer, count] : state.admitted) {
        const auto known = counts[customer];
        // After a long silence the old count says nothing about the present window.
        const bool countable = item.heard && !result.was_silent;
        if (count > known && countable) {
            result.newly_admitted[customer] = count - known;
        }
        counts[customer] = std::max(known, count);
    }
    item.record = record;
    item.state = state;
    // A message without counts says nothing about them.
    item.state.admitted = std::move(counts);
    item.heard = now;
    return result;
}

bool peer_directory::is_live(const peer& item, kernel::time_point now) const
{
    return item.heard && now - *item.heard <= use_.silence;
}

std::vector<const host_record*> peer_directory::offered_in(const kernel::data_centre_name& data_centre,
                                                           kernel::time_point now) const
{
    std::vector<const host_record*> ready;
    if (ready_ && data_centre == use_.self.data_centre) {
        ready.push_back(&use_.self);
    }
    for (const auto& [name, item] : peers_) {
        if (item.record.data_centre == data_centre && item.state.ready && is_live(item, now)) {
            ready.push_back(&item.record);
        }
    }
    sort_by_rank(ready);
    ready.resize(count_needed(ready, data_centre, now));
    return ready;
}

std::vector<kernel::data_centre_name> peer_directory::data_centres() const
{
    std::set<kernel::data_centre_name> names{use_.self.data_centre};
    for (const auto& [name, item] : peers_) {
        names.insert(item.record.data_centre);
    }
    return {names.begin(), names.end()};
}

std::vector<kernel::socket_address> peer_directory::caller_addresses_for(const kernel::data_centre_name& data_centre,
                                                                         kernel::time_point now) const
{
    auto offered = offered_in(data_centre, now);
    if (offered.empty() && data_centre != use_.self.data_centre) {
        offered = offered_in(use_.self.data_centre, now);
    }
    if (offered.empty()) {
        for (const auto& other : data_centres()) {
            const auto there = offered_in(other, now);
            offered.insert(offered.end(), there.begin(), there.end());
        }
    }
    std::vector<kernel::socket_address> addresses;
    addresses.reserve(offered.size() + 1);
    for (const auto* record : offered) {
        addresses.push_back(record->caller_address);
    }
    if (addresses.empty()) {
        addresses.push_back(use_.self.caller_address);
    }
    return addresses;
}

bool peer_directory::is_active(kernel::time_point now) const
{
    const auto offered = offered_in(use_.self.data_centre, now);
    return std::find(offered.begin(), offered.end(), &use_.self) != offered.end();
}

double peer_directory::demand_in(const kernel::data_centre_name& data_centre, kernel::time_point now) const
{
    double demand = data_centre == use_.self.data_centre ? load_ * use_.self.processor_cores : 0;
    for (const auto& [name, item] : peers_) {
        if (item.record.data_centre == data_centre && is_live(item, now)) {
            demand += item.state.load * item.record.processor_cores;
        }
    }
    return std::max(demand, expected_demand_);
}

// The first hosts in the order of rank that carry the demand together.
std::size_t peer_directory::count_needed(const std::vector<const host_record*>& ranked,
                                         const kernel::data_centre_name& data_centre, kernel::time_point now) const
{
    const double demand = demand_in(data_centre, now);
    double carried = 0;
    std::size_t count = 0;
    while (count < ranked.size() && (count < use_.hosts_per_data_centre || carried < demand)) {
        carried += target_load * ranked[count]->processor_cores;
        ++count;
    }
    return count;
}

std::size_t peer_directory::expected_active_hosts(kernel::time_point now) const
{
    std::map<kernel::data_centre_name, std::vector<const host_record*>> known{{use_.self.data_centre, {&use_.self}}};
    for (const auto& [name, item] : peers_) {
        known[item.record.data_centre].push_back(&item.record);
    }
    std::size_t count = 0;
    for (auto& [data_centre, ranked] : known) {
        sort_by_rank(ranked);
        count += count_needed(ranked, data_centre, now);
    }
    return count;
}

bool peer_directory::has_newly_silent_peer(kernel::time_point now) const
{
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const auto& item = entry.second;
        return item.state.ready && !item.state.admitted.empty() && item.heard && !is_live(item, now) &&
               now - *item.heard < 4 * use_.silence;
    });
}

bool peer_directory::is_store_reader(kernel::time_point now) const
{
    return reaches_store_ && std::none_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
               const auto& item = entry.second;
               return item.record.data_centre == use_.self.data_centre && item.state.reaches_store &&
                      is_live(item, now) && ranks_before(item.record, use_.self);
           });
}

std::vector<kernel::socket_address> peer_directory::data_centre_peer_addresses() const
{
    std::vector<kernel::socket_address> addresses;
    for (const auto& [name, item] : peers_) {
        if (item.record.data_centre == use_.self.data_centre) {
            addresses.push_back(item.record.peer_address);
        }
    }
    return addresses;
}

std::vector<kernel::socket_address> peer_directory::recipient_addresses(kernel::time_point now) const
{
    auto addresses = data_centre_peer_addresses();
    for (const auto& data_centre : data_centres()) {
        if (data_centre == use_.self.data_centre) {
            continue;
        }
        for (const auto* record : offered_in(data_centre, now)) {
            addresses.push_back(record->peer_address);
        }
    }
    return addresses;
}

std::vector<kernel::socket_address> peer_directory::all_peer_addresses() const
{
    std::vector<kernel::socket_address> addresses;
    for (const auto& [name, item] : peers_) {
        addresses.push_back(item.record.peer_address);
    }
    return addresses;
}

} // namespace wisterialane::proxy
