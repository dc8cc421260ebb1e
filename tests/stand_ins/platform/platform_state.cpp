#include "tests/stand_ins/platform/platform_state.h"

#include "libraries/platform/platform_events.h"

#include <algorithm>

namespace wisterialane::stand_ins {

using platform::platform_event;
using platform::row_version;

std::optional<platform::row> platform_state::read_row(std::string_view table_name, std::string_view key) const
{
    const auto found = rows_.find({std::string{table_name}, std::string{key}});
    if (found == rows_.end()) {
        return std::nullopt;
    }
    return platform::row{found->first.second, found->second.value, found->second.version};
}

std::vector<platform::row> platform_state::scan_rows(std::string_view table_name, std::string_view prefix,
                                                     std::string_view after, std::size_t limit) const
{
    std::vector<platform::row> rows;
    const std::string table{table_name};
    // An empty `after` excludes nothing, because keys are not empty.
    auto position = after >= prefix ? rows_.upper_bound({table, std::string{after}})
                                    : rows_.lower_bound({table, std::string{prefix}});
    for (; position != rows_.end() && rows.size() < limit; ++position) {
        const auto& [row_table, key] = position->first;
        if (row_table != table || key.compare(0, prefix.size(), prefix) != 0) {
            break;
        }
        rows.push_back({key, position->second.value, position->second.version});
    }
    return rows;
}

kernel::result<row_version> platform_state::insert_row(std::string_view table_name, std::string_view key,
                                                       std::string_view value)
{
    const auto [position, inserted] = rows_.try_emplace({std::string{table_name}, std::string{key}});
    if (!inserted) {
        return kernel::fail(platform_event::conflict, std::string{key});
    }
    position->second = {std::string{value}, next_version()};
    return position->second.version;
}

kernel::result<row_version> platform_state::update_row(std::string_view table_name, std::string_view key,
                                                       std::string_view value, const row_version& expected)
{
    const auto found = rows_.find({std::string{table_name}, std::string{key}});
    if (found == rows_.end() || found->second.version != expected) {
        return kernel::fail(platform_event::conflict, std::string{key});
    }
    found->second = {std::string{value}, next_version()};
    return found->second.version;
}

kernel::result<void> platform_state::remove_row(std::string_view table_name, std::string_view key,
                                                const row_version& expected)
{
    const auto found = rows_.find({std::string{table_name}, std::string{key}});
    if (found == rows_.end() || found->second.version != expected) {
        return kernel::fail(platform_event::conflict, std::string{key});
    }
    rows_.erase(found);
    return {};
}

std::optional<std::string> platform_state::get_object(std::string_view key) const
{
    const auto found = objects_.find(key);
    return found == objects_.end() ? std::nullopt : std::optional{found->second};
}

kernel::result<void> platform_state::put_object(std::string_view key, std::string_view bytes)
{
    if (!objects_.try_emplace(std::string{key}, bytes).second) {
        return kernel::fail(platform_event::conflict, std::string{key});
    }
    return {};
}

std::vector<platform::listed_host> platform_state::read_hosts(kernel::time_point now) const
{
    const auto seen_at = now - host_list_lag_;
    std::vector<platform::listed_host> hosts;
    for (const auto& [key, changes] : listings_) {
        const auto next = std::find_if(changes.begin(), changes.end(),
                                       [seen_at](const listing_change& change) { return change.since > seen_at; });
        if (next == changes.begin()) {
            continue;
        }
        const auto& current = *std::prev(next);
        if (current.entry && !is_expired(current, seen_at)) {
            hosts.push_back(*current.entry);
        }
    }
    return hosts;
}

void platform_state::announce_host(const platform::listed_host& host, kernel::time_point now)
{
    record_listing("entry_host/" + host.instance.value(), host, now);
}

void platform_state::put_upstream(const platform::listed_host& upstream, kernel::time_point now)
{
    record_listing("upstream/" + upstream.name.value(), upstream, now);
}

void platform_state::remove_upstream(const kernel::host_name& name, kernel::time_point now)
{
    record_listing("upstream/" + name.value(), std::nullopt, now);
}

row_version platform_state::next_version()
{
    return row_version{std::to_string(++last_version_)};
}

void platform_state::record_listing(const std::string& key, std::optional<platform::listed_host> entry,
                                    kernel::time_point now)
{
    auto& changes = listings_[key];
    changes.push_back({now, std::move(entry)});
    // Changes that a newer one hides from every later read are dropped, so that the history stays short.
    const auto oldest_needed = now - host_list_lag_;
    while (changes.size() > 1 && changes[1].since <= oldest_needed) {
        changes.erase(changes.begin());
    }
}

bool platform_state::is_expired(const listing_change& change, kernel::time_point at) const
{
    return change.entry->role == platform::listed_role::entry_host && at - change.since >= host_list_expiry_;
}

} // namespace wisterialane::stand_ins
