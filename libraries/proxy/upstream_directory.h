#pragma once

#include "kernel/clock.h"
#include "libraries/proxy/upstream_health.h"
#include "libraries/proxy/upstream_record.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace wisterialane::proxy {

/// An upstream that may receive requests, with what this host knows of it.
struct tracked_upstream {
    upstream_record record;
    upstream_health health;
    /// Send times of the requests that it works on for this host.
    std::multiset<kernel::time_point> in_flight;
    /// Smoothed time from the sending of a request to its answer; zero before the first.
    kernel::duration latency{};
    /// When this host last sent it a request.
    kernel::time_point sent_at{};
    /// When it last answered this host.
    kernel::time_point answered_at{};
    /// It has shed a request; others go first until then.
    kernel::time_point busy_until{};
    /// Its entry is missing from the store, and may come back.
    bool missing = false;
    /// It has said that it is leaving, in its entry or in an answer.
    bool draining = false;
};

/// What changed in the directory.
enum class directory_change { added, draining, removed };

/// The upstreams of all services, as their entries in the store name them.
///
/// A missing entry means that the upstream has left, unless the store was away: entries that lapsed meanwhile come
/// back shortly after its return.
class upstream_directory {
public:
    using listener = std::function<void(const upstream_record&, directory_change)>;

    explicit upstream_directory(listener notify) : notify_{std::move(notify)} {}

    /// Replaces the list by all entries of the store.
    void replace_all(const std::vector<upstream_record>& records, kernel::time_point now);

    /// Returns whether the entry says something new besides that its upstream lives.
    bool update(const upstream_record& record);

    /// The entry of this id was removed.
    void remove(const kernel::upstream_name& id, kernel::time_point now);

    /// The upstream itself has said that it is leaving, or another process has its address.
    void mark_draining(const kernel::upstream_name& id);

    /// The store could not be read at `now`.
    void record_store_failure(kernel::time_point now) { last_store_failure_ = now; }

    /// Drops missing entries whose time to come back is over. Called after each successful read, own or of the reader
    /// of the data centre, also if nothing has changed.
    void remove_missing(kernel::time_point now);

    [[nodiscard]] tracked_upstream* find(const kernel::upstream_name& id);

    /// All upstreams of the service, also the leaving ones.
    [[nodiscard]] const std::vector<tracked_upstream*>& of_service(const kernel::service_name& service) const;

    [[nodiscard]] const std::map<kernel::upstream_name, tracked_upstream>& all() const { return upstreams_; }

private:
    [[nodiscard]] bool store_is_steady(kernel::time_point now) const;
    void erase(const kernel::upstream_name& id);
    void index(tracked_upstream& item);

    listener notify_;
    std::map<kernel::upstream_name, tracked_upstream> upstreams_;
    /// The entries of the map above by service, in its order.
    std::unordered_map<kernel::service_name, std::vector<tracked_upstream*>> by_service_;
    std::optional<kernel::time_point> last_store_failure_;
};

} // namespace wisterialane::proxy
