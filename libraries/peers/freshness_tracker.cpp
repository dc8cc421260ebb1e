#include "libraries/peers/freshness_tracker.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace wisterialane::peers {
namespace {

// What an instance that has stopped for good counts as holding: it acts on no version any more, old or new.
constexpr kernel::version_number every_version{std::numeric_limits<std::uint64_t>::max()};

constexpr kernel::time_point earliest = kernel::time_point::min();

bool is_newer(kernel::version_number version, kernel::version_number other)
{
    return version.value() > other.value();
}

kernel::version_number newer_of(kernel::version_number left, kernel::version_number right)
{
    return is_newer(left, right) ? left : right;
}

kernel::version_number older_of(kernel::version_number left, kernel::version_number right)
{
    return is_newer(left, right) ? right : left;
}

} // namespace

freshness_tracker::freshness_tracker(kernel::instance_id self) : self_{std::move(self)}
{
    // Version 0 is empty and the same on all hosts.
    rosters_.push_back({kernel::version_number{}, {}});
    accepted_.push_back({kernel::version_number{}, earliest});
}

void freshness_tracker::start_at(kernel::version_number version, const configuration::chain_hash& hash,
                                 const configuration::roster& hosts, kernel::time_point now)
{
    if (!is_newer(version, version_)) {
        return;
    }
    rosters_.clear();
    rosters_.push_back({version, hosts});
    take_up(version, hash, now);
}

void freshness_tracker::advance(kernel::version_number version, const configuration::chain_hash& hash,
                                const configuration::roster& hosts, kernel::time_point now)
{
    if (version.value() != version_.value() + 1) {
        return;
    }
    if (hosts != current_roster()) {
        rosters_.push_back({version, hosts});
    }
    take_up(version, hash, now);
}

void freshness_tracker::take_up(kernel::version_number version, const configuration::chain_hash& hash,
                                kernel::time_point now)
{
    version_ = version;
    hash_ = hash;
    newest_known_ = newer_of(newest_known_, version);
    if (newest_observation_) {
        merge_observation(*newest_observation_);
    }
    mark_predecessors();
    update(now);
}

void freshness_tracker::observe(kernel::version_number version, kernel::time_point sent)
{
    merge_observation({version, sent});
}

void freshness_tracker::merge_observation(const dated_version& heard)
{
    newest_known_ = newer_of(newest_known_, heard.version);
    if (!newest_observation_ || heard.at > newest_observation_->at) {
        newest_observation_ = heard;
    }
    // A host that holds a newer version than the observed one holds all that was committed before the observation.
    if (!is_newer(heard.version, version_) && (!held_observation_ || heard.at > held_observation_->at)) {
        held_observation_ = heard;
    }
}

hear_outcome freshness_tracker::hear(const kernel::instance_id& sender, const pull_response& response,
                                     kernel::time_point sent, kernel::time_point now)
{
    if (response.version == version_ && response.hash != hash_) {
        return hear_outcome::conflicting;
    }
    // The response was made after `sent`, so that ages count from there.
    merge(sender, {response.version, sent, response.state});
    for (const auto& item : response.held) {
        const auto as_of = item.age ? std::optional{sent - *item.age} : std::nullopt;
        merge(item.instance, {item.version, as_of, item.state});
    }
    if (response.observation) {
        merge_observation({response.observation->version, sent - response.observation->age});
    }
    newest_known_ = newer_of(newest_known_, response.version);
    note_accepted(response.accepted, now);
    update(now);
    return is_newer(response.version, version_) ? hear_outcome::newer_available : hear_outcome::up_to_date;
}

void freshness_tracker::hear_request(const kernel::instance_id& sender, kernel::version_number version,
                                     host_state state, kernel::time_point now)
{
    merge(sender, {version, std::nullopt, state});
    newest_known_ = newer_of(newest_known_, version);
    update(now);
}

void freshness_tracker::learn_accepted(kernel::version_number version, kernel::time_point now)
{
    note_accepted(version, now);
    update(now);
}

void freshness_tracker::merge(const kernel::instance_id& instance, const statement& heard)
{
    const bool listed = std::any_of(rosters_.begin(), rosters_.end(), [&instance](const dated_roster& item) {
        return item.hosts.find(instance) != nullptr;
    });
    if (instance == self_ || !listed) {
        return;
    }
    auto& known = statements_[instance];
    known.version = newer_of(known.version, heard.version);
    known.state = std::max(known.state, heard.state);
    if (heard.as_of && (!known.as_of || *heard.as_of > *known.as_of)) {
        known.as_of = heard.as_of;
    }
}

pull_response freshness_tracker::report(kernel::time_point now) const
{
    pull_response response;
    response.version = version_;
    response.hash = hash_;
    response.accepted = accepted();
    response.state = state_;
    if (newest_observation_) {
        response.observation = aged_observation{newest_observation_->version, now - newest_observation_->at};
    }
    response.held.reserve(statements_.size());
    for (const auto& [instance, known] : statements_) {
        held_version item{instance, known.version, std::nullopt, known.state};
        if (known.as_of) {
            item.age = now - *known.as_of;
        }
        response.held.push_back(std::move(item));
    }
    return response;
}

configuration::freshness freshness_tracker::freshness_at(kernel::time_point now) const
{
    if (state_ == host_state::departed) {
        return configuration::freshness::stale;
    }
    const auto oldest = now - freshness_bound;
    const bool observed = held_observation_ && held_observation_->at >= oldest;
    const bool quorum_heard = quorum_validity_ && quorum_validity_->after < oldest && quorum_validity_->until >= oldest;
    return observed || quorum_heard ? configuration::freshness::fresh : configuration::freshness::stale;
}

kernel::version_number freshness_tracker::accepted() const
{
    return accepted_.back().version;
}

kernel::version_number freshness_tracker::settled(kernel::time_point now) const
{
    const auto learned_before = now - freshness_bound_elsewhere;
    for (auto item = accepted_.rbegin(); item != accepted_.rend(); ++item) {
        if (item->at <= learned_before) {
            return older_of(item->version, version_);
        }
    }
    return kernel::version_number{};
}

configuration::version_progress freshness_tracker::progress_of(kernel::version_number version) const
{
    configuration::version_progress progress;
    progress.version = version;
    const auto& hosts = current_roster().entries;
    progress.roster_size = hosts.size();
    for (const auto& entry : hosts) {
        if (!is_newer(version, held_by(entry.instance))) {
            ++progress.holders;
        }
        else {
            progress.lagging.push_back(entry.host);
        }
    }
    if (!is_newer(version, accepted())) {
        progress.state = configuration::version_state::accepted;
    }
    else if (!is_newer(version, newest_known_)) {
        progress.state = configuration::version_state::committed;
    }
    return progress;
}

bool freshness_tracker::heard_since(const kernel::instance_id& instance, kernel::time_point since) const
{
    if (current_roster().find(instance) == nullptr) {
        return false;
    }
    if (instance == self_) {
        return true;
    }
    const auto known = statements_.find(instance);
    return known != statements_.end() && known->second.as_of && *known->second.as_of >= since;
}

host_state freshness_tracker::state_of(const kernel::instance_id& instance) const
{
    if (instance == self_) {
        return state_;
    }
    const auto known = statements_.find(instance);
    return known == statements_.end() ? host_state::serving : known->second.state;
}

void freshness_tracker::enter_state(host_state state)
{
    state_ = std::max(state_, state);
}

void freshness_tracker::note_accepted(kernel::version_number version, kernel::time_point now)
{
    if (!is_newer(version, accepted())) {
        return;
    }
    // Of the versions that have settled already only the newest is of use.
    while (accepted_.size() > 1 && accepted_[1].at <= now - freshness_bound_elsewhere) {
        accepted_.pop_front();
    }
    accepted_.push_back({version, now});
}

void freshness_tracker::update(kernel::time_point now)
{
    note_accepted(compute_accepted(), now);
    const auto roster_count = rosters_.size();
    while (rosters_.size() > 1 && !is_newer(rosters_[1].from, accepted())) {
        rosters_.pop_front();
    }
    if (rosters_.size() != roster_count) {
        forget_unlisted();
    }
    quorum_validity_ = compute_quorum_validity();
}

void freshness_tracker::forget_unlisted()
{
    std::erase_if(statements_, [this](const auto& item) {
        return std::none_of(rosters_.begin(), rosters_.end(),
                            [&item](const dated_roster& listed) { return listed.hosts.find(item.first) != nullptr; });
    });
}

void freshness_tracker::claim_address(const kernel::socket_address& address, kernel::time_point now)
{
    own_address_ = address;
    mark_predecessors();
    update(now);
}

void freshness_tracker::mark_predecessors()
{
    for (const auto& listed : rosters_) {
        for (const auto& entry : listed.hosts.entries) {
            if (own_address_ && entry.peer_address == *own_address_ && entry.instance != self_) {
                merge(entry.instance, {kernel::version_number{}, std::nullopt, host_state::departed});
            }
        }
    }
}

freshness_tracker::validity freshness_tracker::compute_quorum_validity() const
{
    const auto& hosts = current_roster();
    validity found{earliest, earliest};
    std::vector<kernel::time_point> heard;
    for (const auto& entry : hosts.entries) {
        if (entry.instance == self_) {
            heard.push_back(kernel::time_point::max());
            continue;
        }
        const auto known = statements_.find(entry.instance);
        if (known == statements_.end() || !known->second.as_of || known->second.state == host_state::departed) {
            continue;
        }
        if (is_newer(known->second.version, version_)) {
            found.after = std::max(found.after, *known->second.as_of);
        }
        else {
            heard.push_back(*known->second.as_of);
        }
    }
    if (hosts.entries.empty() || heard.size() < hosts.quorum()) {
        return found;
    }
    const auto last = heard.begin() + static_cast<std::ptrdiff_t>(hosts.quorum() - 1);
    std::nth_element(heard.begin(), last, heard.end(), std::greater<>{});
    found.until = *last;
    return found;
}

// A version counts as accepted when a quorum of every roster since the last accepted version holds it. With only the
// two newest rosters, a partition that took up a roster without the others could accept versions that the others, who
// still hear a quorum of the roster before it, never learn of.
kernel::version_number freshness_tracker::compute_accepted() const
{
    if (is_newer(rosters_.front().from, accepted())) {
        return accepted();
    }
    auto candidate = version_;
    for (const auto& item : rosters_) {
        if (is_newer(item.from, candidate)) {
            break;
        }
        const auto level = quorum_level(item.hosts);
        if (is_newer(item.from, level)) {
            // The versions before this roster need only the rosters before it.
            candidate = item.from.value() == 0 ? item.from : kernel::version_number{item.from.value() - 1};
            break;
        }
        candidate = older_of(candidate, level);
    }
    return newer_of(candidate, accepted());
}

/// The newest version that a quorum of the roster holds.
kernel::version_number freshness_tracker::quorum_level(const configuration::roster& hosts) const
{
    if (hosts.entries.empty()) {
        return every_version;
    }
    std::vector<kernel::version_number> held;
    held.reserve(hosts.entries.size());
    for (const auto& entry : hosts.entries) {
        held.push_back(held_by(entry.instance));
    }
    const auto last = held.begin() + static_cast<std::ptrdiff_t>(hosts.quorum() - 1);
    std::nth_element(held.begin(), last, held.end(), is_newer);
    return *last;
}

kernel::version_number freshness_tracker::held_by(const kernel::instance_id& instance) const
{
    if (instance == self_) {
        return version_;
    }
    const auto known = statements_.find(instance);
    if (known == statements_.end()) {
        return kernel::version_number{};
    }
    return known->second.state == host_state::departed ? every_version : known->second.version;
}

} // namespace wisterialane::peers
