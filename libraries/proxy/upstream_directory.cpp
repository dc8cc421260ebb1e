#include "libraries/proxy/upstream_directory.h"

#include <algorithm>

#include <xxhash.h>

namespace wisterialane::proxy {
namespace {

/// Bounds of the time in which a host uses each upstream of a service once, as assumed for a new upstream.
constexpr kernel::duration shortest_cycle = std::chrono::milliseconds{10};
constexpr kernel::duration longest_cycle = std::chrono::seconds{30};

/// Removed upstreams that are remembered.
constexpr std::size_t maximum_removed_upstreams = 4096;

bool is_same_process(const upstream_record& left, const upstream_record& right)
{
    return left.started_at_ms == right.started_at_ms && left.address == right.address && left.service == right.service;
}

// The time for which the upstream is still cold falls with every update; only its end matters, which `cold_state` has.
bool is_equivalent(const upstream_record& left, const upstream_record& right)
{
    const bool left_warming_up = left.remaining_warm_up > std::chrono::milliseconds{0};
    const bool right_warming_up = right.remaining_warm_up > std::chrono::milliseconds{0};
    return left.service == right.service && left.address == right.address && left.data_centre == right.data_centre &&
           left.slots == right.slots && left.phase == right.phase && left.started_at_ms == right.started_at_ms &&
           left_warming_up == right_warming_up;
}

} // namespace

std::string_view to_name(leaving_source source)
{
    switch (source) {
    case leaving_source::entry:
        return "entry";
    case leaving_source::response:
        return "response";
    case leaving_source::report:
        return "report";
    case leaving_source::misdirected:
        break;
    }
    return "misdirected";
}

bool upstream_directory::store_is_stable(kernel::time_point now) const
{
    return !last_store_failure_ || now - *last_store_failure_ > reappearance_time;
}

void upstream_directory::replace_all(const std::vector<upstream_record>& records, kernel::time_point now)
{
    std::set<kernel::upstream_name> listed;
    for (const auto& record : records) {
        if (!is_of_copy_only(record)) {
            listed.insert(record.id);
            update(record, now);
        }
    }
    std::vector<kernel::upstream_name> missing;
    for (const auto& [id, upstream] : upstreams_) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        remove(id, now);
    }
}

void upstream_directory::restore(const std::vector<upstream_record>& records, kernel::time_point now)
{
    record_store_failure(now);
    listed_by_copy_.clear();
    for (const auto& record : records) {
        if (has_left(record)) {
            listed_by_copy_[record.id] = record.started_at_ms;
        }
    }
    replace_all(records, now);
}

bool upstream_directory::is_of_copy_only(const upstream_record& record) const
{
    const auto found = listed_by_copy_.find(record.id);
    return found != listed_by_copy_.end() && record.started_at_ms <= found->second;
}

// Whether the process of this entry has been removed, or replaced by a later one of the same id.
bool upstream_directory::has_left(const upstream_record& record) const
{
    if (const auto present = upstreams_.find(record.id); present != upstreams_.end()) {
        return record.started_at_ms < present->second.record.started_at_ms;
    }
    const auto removed = removed_.find(record.id);
    return removed != removed_.end() && record.started_at_ms <= removed->second.record.started_at_ms;
}

bool upstream_directory::update(const upstream_record& record, kernel::time_point now)
{
    listed_by_copy_.erase(record.id);
    auto found = upstreams_.find(record.id);
    const bool unchanged =
        found != upstreams_.end() && !found->second.missing && is_equivalent(found->second.record, record);
    if (found != upstreams_.end() && !is_same_process(found->second.record, record)) {
        erase(record.id);
        found = upstreams_.end();
    }
    if (found == upstreams_.end()) {
        found = upstreams_.emplace(record.id, take_removed(record)).first;
        found->second.record = record;
        found->second.placed_at = first_place(record, now);
        add_to_index(found->second);
        notify_(record, directory_change::added);
    }
    auto& upstream = found->second;
    const bool cold_changed = record_entry(upstream, record, now);
    upstream.missing = false;
    if (record.phase == upstream_phase::draining) {
        mark_draining(record.id, leaving_source::entry);
    }
    const auto reported = reported_leaving_.find(record.id);
    if (reported != reported_leaving_.end() && reported->second == record.started_at_ms) {
        mark_draining(record.id, leaving_source::report);
    }
    return !unchanged || cold_changed;
}

// An entry that was read again without having been written anew says nothing on the present time. Returns whether the
// time for which the upstream is cold has changed.
bool upstream_directory::record_entry(tracked_upstream& upstream, const upstream_record& record, kernel::time_point now)
{
    const bool written = !upstream.entry_was_read || upstream.record.sequence != record.sequence ||
                         upstream.record.remaining_warm_up != record.remaining_warm_up;
    upstream.record = record;
    upstream.entry_was_read = true;
    return written && record_cold_time(upstream, record.remaining_warm_up, now);
}

void upstream_directory::remove(const kernel::upstream_name& id, kernel::time_point now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end()) {
        return;
    }
    if (store_is_stable(now)) {
        erase(id);
        return;
    }
    found->second.missing = true;
}

void upstream_directory::mark_draining(const kernel::upstream_name& id, leaving_source source)
{
    if (auto* upstream = find(id); upstream != nullptr && !upstream->draining) {
        upstream->draining = true;
        upstream->left_by = source;
        notify_(upstream->record, directory_change::draining);
    }
}

bool upstream_directory::record_notice(const kernel::upstream_name& id, const upstream_notice& notice,
                                       kernel::time_point sent_at, kernel::time_point now)
{
    auto* upstream = find_process(id, notice.started_at_ms);
    if (upstream == nullptr) {
        return false;
    }
    if (notice.leaving) {
        const bool is_news = !upstream->draining;
        mark_draining(id, leaving_source::response);
        return is_news;
    }
    const bool cold_changed = notice.cold_left && record_cold_time(*upstream, *notice.cold_left, now);
    const auto known_limit = upstream->rate_limit.per_second(now);
    const bool should_report = upstream->rate_limit.record_response(notice.rate_limit, sent_at, now) || cold_changed;
    if (upstream->rate_limit.per_second(now) != known_limit) {
        notify_(upstream->record, directory_change::limit_changed);
    }
    return should_report;
}

void upstream_directory::record_reported_notice(const kernel::upstream_name& id, const upstream_notice& notice,
                                                kernel::time_point now)
{
    auto* upstream = find_process(id, notice.started_at_ms);
    if (upstream == nullptr) {
        remember_leaving(id, notice);
        return;
    }
    if (notice.leaving) {
        mark_draining(id, leaving_source::report);
        return;
    }
    if (notice.cold_left) {
        record_cold_time(*upstream, *notice.cold_left, now);
    }
    upstream->rate_limit.record_report(notice.rate_limit, now);
}

// The report may come before the entry of the process, which then says that it is ready.
void upstream_directory::remember_leaving(const kernel::upstream_name& id, const upstream_notice& notice)
{
    if (!notice.leaving) {
        return;
    }
    auto& started_at_ms = reported_leaving_[id];
    started_at_ms = std::max(started_at_ms, notice.started_at_ms);
    if (reported_leaving_.size() > maximum_removed_upstreams) {
        reported_leaving_.erase(reported_leaving_.begin());
    }
}

// Returns whether the upstream has become cold or warm, or the end of its cold time has moved.
bool upstream_directory::record_cold_time(tracked_upstream& upstream, std::chrono::milliseconds left,
                                          kernel::time_point now)
{
    const bool was_cold = upstream.cold.is_cold(now);
    const bool is_news = upstream.cold.record_statement(left, now);
    if (upstream.cold.is_cold(now) != was_cold) {
        notify_(upstream.record, directory_change::cold_changed);
    }
    return is_news;
}

void upstream_directory::record_connection(const kernel::upstream_name& id, bool connected, kernel::duration cold_start,
                                           kernel::time_point now)
{
    auto* upstream = find(id);
    if (upstream == nullptr) {
        return;
    }
    if (connected) {
        upstream->cold.record_connection(cold_start, now);
    }
    else {
        upstream->cold.record_connect_failure(now);
    }
}

void upstream_directory::record_reported_outcome(const kernel::upstream_name& id, exchange_outcome outcome,
                                                 kernel::duration cold_start, kernel::time_point now)
{
    auto* upstream = find(id);
    if (upstream == nullptr) {
        return;
    }
    if (outcome == exchange_outcome::good) {
        upstream->cold.record_connection(cold_start, now);
    }
    // A single host that cannot connect may have lost its own path.
    const bool relevant = upstream->health.is_unreachable() || upstream->cold.awaits_connection(now);
    if (outcome == exchange_outcome::connect_failed && relevant) {
        upstream->cold.record_connect_failure(now);
    }
}

void upstream_directory::close_until(const kernel::upstream_name& id, std::int64_t started_at_ms,
                                     kernel::time_point end)
{
    if (auto* upstream = find_process(id, started_at_ms); upstream != nullptr) {
        upstream->closed_until = std::max(upstream->closed_until, end);
    }
}

tracked_upstream* upstream_directory::find_process(const kernel::upstream_name& id, std::int64_t started_at_ms)
{
    auto* upstream = find(id);
    return upstream != nullptr && upstream->record.started_at_ms == started_at_ms ? upstream : nullptr;
}

void upstream_directory::remove_missing(kernel::time_point now)
{
    if (!store_is_stable(now)) {
        return;
    }
    std::vector<kernel::upstream_name> missing;
    for (const auto& [id, upstream] : upstreams_) {
        if (upstream.missing) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        erase(id);
    }
}

void upstream_directory::erase(const kernel::upstream_name& id)
{
    const auto found = upstreams_.find(id);
    const auto record = found->second.record;
    std::erase(by_service_[record.service], &found->second);
    found->second.in_flight.clear();
    removed_[id] = std::move(found->second);
    upstreams_.erase(found);
    if (removed_.size() > maximum_removed_upstreams) {
        removed_.erase(removed_.begin());
    }
    notify_(record, directory_change::removed);
}

// Returns what is known of the process of this entry, if it had an entry before.
tracked_upstream upstream_directory::take_removed(const upstream_record& record)
{
    auto node = removed_.extract(record.id);
    const bool known = !node.empty() && is_same_process(node.mapped().record, record);
    if (known) {
        return std::move(node.mapped());
    }
    tracked_upstream added;
    if (!node.empty()) {
        // Requests may have reached the new process before its entry was read, and count as sent to it.
        added.last_request_at = node.mapped().last_request_at;
    }
    return added;
}

tracked_upstream* upstream_directory::find(const kernel::upstream_name& id)
{
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? nullptr : &found->second;
}

bool upstream_directory::takes_work(const kernel::upstream_name& id, std::int64_t started_at_ms) const
{
    const auto found = upstreams_.find(id);
    return found != upstreams_.end() && found->second.record.started_at_ms == started_at_ms && !found->second.draining;
}

const std::vector<tracked_upstream*>& upstream_directory::of_service(const kernel::service_name& service) const
{
    static const std::vector<tracked_upstream*> none;
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? none : found->second;
}

// A place anywhere in the order in which this host uses the service's upstreams. If a new upstream were the first one
// at all hosts, each of them would send it a request at once.
kernel::time_point upstream_directory::first_place(const upstream_record& record, kernel::time_point now) const
{
    kernel::duration cycle = shortest_cycle;
    for (const auto* upstream : of_service(record.service)) {
        cycle = std::max(cycle, now - upstream->last_use());
    }
    const auto& name = record.id.value();
    constexpr std::uint64_t parts = 1024;
    const auto part = static_cast<std::int64_t>(::XXH64(name.data(), name.size(), order_seed_) % parts);
    return now - std::min(cycle, longest_cycle) * part / static_cast<std::int64_t>(parts);
}

void upstream_directory::add_to_index(tracked_upstream& upstream)
{
    auto& upstreams = by_service_[upstream.record.service];
    const auto position = std::find_if(upstreams.begin(), upstreams.end(), [&upstream](const auto* other) {
        return upstream.record.id.value() < other->record.id.value();
    });
    upstreams.insert(position, &upstream);
}

} // namespace wisterialane::proxy
