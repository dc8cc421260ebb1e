#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/health/evidence_report.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wisterialane::health {

/// What a crash says after it has been recorded.
enum class crash_attribution {
    /// Seen on one upstream only; the request or the upstream may be at fault.
    undecided,
    /// The request has now crashed a second upstream.
    request_newly_blamed,
    /// Known to crash upstreams before.
    request_already_blamed,
};

/// Requests that have crashed upstreams, by fingerprint. A fingerprint that was seen on several different upstreams is
/// refused; on two, unless said otherwise. The number of entries is bounded and they expire.
class quarantine {
public:
    static constexpr std::size_t maximum_entries = 1024;
    /// After this time the request may run again, because upstreams get repaired.
    static constexpr kernel::duration lifetime = std::chrono::minutes{10};
    /// Two crashes further apart are not connected: a common request is in flight whenever some upstream restarts.
    static constexpr kernel::duration decision_window = std::chrono::minutes{1};
    /// A host passes a sighting on for this long after it has learned of it. It is much shorter than `lifetime`, so
    /// that hosts do not renew an expired entry for one another.
    static constexpr kernel::duration reporting_time = std::chrono::seconds{30};
    static constexpr std::size_t maximum_reported = 128;

    /// `upstreams_to_blame`: crashes of this many upstreams blame the request. Where single closed connections count as
    /// crashes, two may be chance.
    explicit quarantine(std::size_t upstreams_to_blame = 2) : upstreams_to_blame_{upstreams_to_blame} {}

    crash_attribution record(const crash_sighting& sighting, kernel::time_point now);

    /// The request ran without a crash, so earlier crashes and those in the next `decision_window` were not its fault.
    /// Without effect on a fingerprint that is quarantined or was never seen in a crash.
    void record_success(std::uint64_t fingerprint, kernel::time_point now);

    [[nodiscard]] bool is_quarantined(std::uint64_t fingerprint, kernel::time_point now) const;

    /// The upstreams that the fingerprint has crashed, at most as many as blame it.
    [[nodiscard]] std::vector<kernel::upstream_name> crashed_upstreams(std::uint64_t fingerprint) const;

    /// The sightings to tell other hosts.
    [[nodiscard]] std::vector<crash_sighting> sightings(kernel::time_point now) const;

private:
    struct entry {
        std::unordered_set<kernel::upstream_name> upstreams;
        kernel::time_point newest;
        std::optional<kernel::time_point> succeeded;
    };

    [[nodiscard]] bool is_decided(const entry& item) const { return item.upstreams.size() >= upstreams_to_blame_; }

    [[nodiscard]] bool is_expired(const entry& item, kernel::time_point now) const
    {
        return now - item.newest > (is_decided(item) ? lifetime : decision_window);
    }

    void make_room(kernel::time_point now);

    std::size_t upstreams_to_blame_;
    std::unordered_map<std::uint64_t, entry> entries_;
};

} // namespace wisterialane::health
