#pragma once

#include "kernel/clock.h"
#include "libraries/proxy/placement/cold_state.h"
#include "libraries/proxy/upstream_health.h"
#include "libraries/proxy/upstream_notice.h"
#include "libraries/proxy/upstream_rate_limit.h"
#include "libraries/proxy/upstream_record.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wisterialane::proxy {

/// Entries that expired while the store was unavailable reappear within this time after the outage.
inline constexpr kernel::duration reappearance_time = std::chrono::milliseconds{2200};

/// How this host has learnt that an upstream is being taken out of service.
enum class leaving_source {
    /// Its entry in the store, read by this host or relayed.
    entry,
    /// One of its responses to this host.
    response,
    /// A report of another host.
    report,
    /// Another process answers at its address.
    misdirected,
};

[[nodiscard]] std::string_view to_name(leaving_source source);

/// An upstream that may receive requests, with all that this host knows about it.
struct tracked_upstream {
    upstream_record record;
    upstream_health health;
    /// Send times of the requests of this host that are in flight at it.
    std::multiset<kernel::time_point> in_flight;
    /// Smoothed time from the sending of a request to its answer; zero before the first answer.
    kernel::duration latency{};
    /// Time of the last request that this host sent to it.
    kernel::time_point last_request_at{};
    /// Its place among the upstreams of equal cost before its first request, as if its last one had been sent then.
    kernel::time_point placed_at{};
    /// Time of its last response to this host.
    kernel::time_point last_response_at{};
    /// After it has shed a request, other upstreams are preferred until this time.
    kernel::time_point busy_until{};
    upstream_rate_limit rate_limit;
    cold_state cold;
    /// It has refused a request and wants none of this host until then.
    kernel::time_point closed_until{};
    /// An entry of its process was read.
    bool entry_was_read = false;
    /// Its entry is missing from the store and may reappear.
    bool missing = false;
    /// It is being taken out of service, as its entry or one of its answers says.
    bool draining = false;
    /// Meaningless until it is draining.
    leaving_source left_by = leaving_source::entry;

    /// Time of the last request of this host, or its place before the first one.
    [[nodiscard]] kernel::time_point last_use() const { return std::max(last_request_at, placed_at); }
};

enum class directory_change { added, limit_changed, cold_changed, draining, removed };

/// The upstreams of all services, as their entries in the store list them.
///
/// A missing entry means that the upstream has stopped, unless the store was unavailable: entries that expired during
/// an outage reappear shortly after it.
class upstream_directory {
public:
    using listener = std::function<void(const upstream_record&, directory_change)>;

    explicit upstream_directory(listener notify) : notify_{std::move(notify)} {}

    /// Sets the seed of the order in which this host begins to use upstreams of equal cost. It should differ by host:
    /// hosts with few requests would otherwise all begin with the same upstreams.
    void set_order_seed(std::uint64_t seed) { order_seed_ = seed; }

    /// Replaces the list by the present entries of the store.
    void replace_all(const std::vector<upstream_record>& records, kernel::time_point now);

    /// Replaces the list by the present entries of a store that has come back from an older copy. Entries of processes
    /// that have left or were replaced are ignored, until `update` reports a change of theirs. Upstreams without an
    /// entry may write theirs again.
    void restore(const std::vector<upstream_record>& records, kernel::time_point now);

    /// Adds or updates an upstream. Returns whether the entry changed in more than the time for which the upstream is
    /// still cold, or that time ends later or sooner than was known.
    bool update(const upstream_record& record, kernel::time_point now);

    /// Handles the removal of an entry from the store.
    void remove(const kernel::upstream_name& id, kernel::time_point now);

    /// Marks an upstream that reports itself as draining, or whose address another process has taken.
    void mark_draining(const kernel::upstream_name& id, leaving_source source);

    /// Records what a response of the upstream says; `sent_at` is when its request was sent. Returns whether the other
    /// hosts should be told. Without effect if the upstream has started anew.
    bool record_notice(const kernel::upstream_name& id, const upstream_notice& notice, kernel::time_point sent_at,
                       kernel::time_point now);

    /// Records what another host reports of the upstream.
    void record_reported_notice(const kernel::upstream_name& id, const upstream_notice& notice, kernel::time_point now);

    /// Records that the upstream wants no request of this host until then. Without effect if it has started anew.
    void close_until(const kernel::upstream_name& id, std::int64_t started_at_ms, kernel::time_point end);

    /// Records the evidence of another host on an exchange with the upstream, apart from its health. Upstreams of its
    /// service are cold for `cold_start` after their start.
    void record_reported_outcome(const kernel::upstream_name& id, exchange_outcome outcome, kernel::duration cold_start,
                                 kernel::time_point now);

    /// Records whether a connection to the upstream was open in an exchange of this host. Upstreams of its service are
    /// cold for `cold_start` after their start.
    void record_connection(const kernel::upstream_name& id, bool connected, kernel::duration cold_start,
                           kernel::time_point now);

    void record_store_failure(kernel::time_point now) { last_store_failure_ = now; }

    /// Records that the store has been available to another host all the while.
    void record_store_stable() { last_store_failure_.reset(); }

    /// Removes missing entries that had time to reappear. Called after each successful read by this host or by the
    /// store reader of its data centre, even if nothing changed.
    void remove_missing(kernel::time_point now);

    [[nodiscard]] tracked_upstream* find(const kernel::upstream_name& id);

    /// Whether requests may be sent to this process of the upstream: it is listed and is not being taken out of
    /// service.
    [[nodiscard]] bool takes_work(const kernel::upstream_name& id, std::int64_t started_at_ms) const;

    /// All upstreams of the service, including draining ones. Sorted by id.
    [[nodiscard]] const std::vector<tracked_upstream*>& of_service(const kernel::service_name& service) const;

    [[nodiscard]] const std::map<kernel::upstream_name, tracked_upstream>& all() const { return upstreams_; }

private:
    [[nodiscard]] tracked_upstream* find_process(const kernel::upstream_name& id, std::int64_t started_at_ms);
    bool record_cold_time(tracked_upstream& upstream, std::chrono::milliseconds left, kernel::time_point now);
    [[nodiscard]] bool record_entry(tracked_upstream& upstream, const upstream_record& record, kernel::time_point now);
    [[nodiscard]] bool has_left(const upstream_record& record) const;
    [[nodiscard]] bool is_of_copy_only(const upstream_record& record) const;
    [[nodiscard]] bool store_is_stable(kernel::time_point now) const;
    void remember_leaving(const kernel::upstream_name& id, const upstream_notice& notice);
    void erase(const kernel::upstream_name& id);
    [[nodiscard]] tracked_upstream take_removed(const upstream_record& record);
    void add_to_index(tracked_upstream& upstream);

    [[nodiscard]] kernel::time_point first_place(const upstream_record& record, kernel::time_point now) const;

    listener notify_;
    std::uint64_t order_seed_ = 0;
    std::map<kernel::upstream_name, tracked_upstream> upstreams_;
    /// Upstreams whose entries were removed, because an entry that expired may reappear while its process goes on.
    std::map<kernel::upstream_name, tracked_upstream> removed_;
    /// Start of the processes that have left although an older copy of the store lists them, by their upstream.
    std::map<kernel::upstream_name, std::int64_t> listed_by_copy_;
    /// Start of the processes that leave, by the reports of other hosts, although this host has not read their entry.
    std::map<kernel::upstream_name, std::int64_t> reported_leaving_;
    /// Points into `upstreams_`; sorted by id.
    std::unordered_map<kernel::service_name, std::vector<tracked_upstream*>> by_service_;
    std::optional<kernel::time_point> last_store_failure_;
};

} // namespace wisterialane::proxy
