#include "libraries/health/quarantine.h"

#include <algorithm>

namespace wisterialane::health {

crash_attribution quarantine::record(const crash_sighting& sighting, kernel::time_point now)
{
    auto found = entries_.find(sighting.fingerprint);
    if (found != entries_.end() && is_expired(found->second, now)) {
        entries_.erase(found);
        found = entries_.end();
    }
    if (found == entries_.end()) {
        make_room(now);
        found = entries_.emplace(sighting.fingerprint, entry{{}, now, std::nullopt}).first;
    }
    auto& known = found->second;
    if (is_decided(known)) {
        return crash_attribution::request_already_blamed;
    }
    if (known.succeeded && now - *known.succeeded <= decision_window) {
        return crash_attribution::undecided;
    }
    // A sighting is repeated in several reports; only a new one renews the entry.
    if (known.upstreams.insert(sighting.upstream).second) {
        known.newest = now;
    }
    return is_decided(known) ? crash_attribution::request_newly_blamed : crash_attribution::undecided;
}

void quarantine::record_success(std::uint64_t fingerprint, kernel::time_point now)
{
    const auto found = entries_.find(fingerprint);
    if (found != entries_.end() && !is_decided(found->second)) {
        found->second.upstreams.clear();
        found->second.succeeded = now;
        found->second.newest = now;
    }
}

bool quarantine::is_quarantined(std::uint64_t fingerprint, kernel::time_point now) const
{
    const auto found = entries_.find(fingerprint);
    return found != entries_.end() && is_decided(found->second) && !is_expired(found->second, now);
}

std::vector<kernel::upstream_name> quarantine::crashed_upstreams(std::uint64_t fingerprint) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end()) {
        return {};
    }
    return {found->second.upstreams.begin(), found->second.upstreams.end()};
}

std::vector<crash_sighting> quarantine::sightings(kernel::time_point now) const
{
    std::vector<crash_sighting> result;
    for (const auto& [fingerprint, known] : entries_) {
        if (now - known.newest > reporting_time || result.size() >= maximum_reported) {
            continue;
        }
        for (const auto& upstream : known.upstreams) {
            result.push_back({fingerprint, upstream});
        }
    }
    return result;
}

void quarantine::make_room(kernel::time_point now)
{
    if (entries_.size() < maximum_entries) {
        return;
    }
    std::erase_if(entries_, [&](const auto& item) { return is_expired(item.second, now); });
    if (entries_.size() < maximum_entries) {
        return;
    }
    // Undecided fingerprints go first: many single crashes must not push out a request that is known to crash.
    const auto oldest = std::min_element(entries_.begin(), entries_.end(), [this](const auto& left, const auto& right) {
        const bool left_decided = is_decided(left.second);
        const bool right_decided = is_decided(right.second);
        return left_decided != right_decided ? right_decided : left.second.newest < right.second.newest;
    });
    entries_.erase(oldest);
}

} // namespace wisterialane::health
