#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/configuration/configuration_view.h"
#include "libraries/configuration/record.h"
#include "libraries/configuration/roster.h"
#include "libraries/configuration/version_progress.h"
#include "libraries/peers/messages.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wisterialane::peers {

/// F of docs/design.md, 8.1: information that is older is not acted on.
inline constexpr std::chrono::milliseconds freshness_bound{4000};

/// F on the clock of another host, whose rate differs by less than 1 %.
inline constexpr std::chrono::milliseconds freshness_bound_elsewhere{4040};

/// `conflicting`: the sender holds the same version with another hash; nothing of the response was used.
enum class hear_outcome { up_to_date, newer_available, conflicting };

/// Decides whether this host may act on its configuration, and which versions are accepted (docs/design.md, 8.1).
///
/// Statements may be lost, repeated, reordered and late: each is a lower bound (an instance held at least this version
/// at some time not before `as_of`), and merging takes the greater of each part. A host that is fresh at `now`
/// therefore holds every version that was accepted before `now - F`.
class freshness_tracker {
public:
    explicit freshness_tracker(kernel::instance_id self);

    /// Takes up a snapshot. The rosters before it are unknown, so that acceptance is learned from others until one of
    /// them reports the snapshot's version or a later one as accepted.
    void start_at(kernel::version_number version, const configuration::chain_hash& hash,
                  const configuration::roster& hosts, kernel::time_point now);

    /// Takes up the version that follows the present one; other versions are ignored.
    void advance(kernel::version_number version, const configuration::chain_hash& hash,
                 const configuration::roster& hosts, kernel::time_point now);

    /// Own poll of the platform that was sent at `sent` and found `version` to be the newest.
    void observe(kernel::version_number version, kernel::time_point sent);

    /// Response to a pull that this host sent at `sent`.
    hear_outcome hear(const kernel::instance_id& sender, const pull_response& response, kernel::time_point sent,
                      kernel::time_point now);

    /// What a request says of its sender. The request may be arbitrarily old.
    void hear_request(const kernel::instance_id& sender, kernel::version_number version, host_state state,
                      kernel::time_point now);

    /// Takes a version as accepted that another instance, perhaps of an earlier run, knew to be accepted.
    void learn_accepted(kernel::version_number version, kernel::time_point now);

    /// What a pull that arrives at `now` is answered, without the evidence.
    [[nodiscard]] pull_response report(kernel::time_point now) const;

    [[nodiscard]] configuration::freshness freshness_at(kernel::time_point now) const;

    [[nodiscard]] kernel::version_number version() const { return version_; }

    /// The newest version that is known to be accepted; it may be newer than the own one.
    [[nodiscard]] kernel::version_number accepted() const;

    /// The newest held version that has been known as accepted for F, so that no host acts on an older one.
    [[nodiscard]] kernel::version_number settled(kernel::time_point now) const;

    [[nodiscard]] configuration::version_progress progress_of(kernel::version_number version) const;

    [[nodiscard]] std::size_t roster_size() const { return current_roster().entries.size(); }

    /// Whether the instance is in the roster and known to have held a version at a time not before `since`.
    [[nodiscard]] bool heard_since(const kernel::instance_id& instance, kernel::time_point since) const;

    [[nodiscard]] host_state state_of(const kernel::instance_id& instance) const;

    /// Says that this host listens on its peer address. No other process can do so meanwhile, so that every other
    /// instance with this address in a roster is a predecessor that has stopped for good.
    void claim_address(const kernel::socket_address& address, kernel::time_point now);

    /// Moves this host's state forward. A departed host is never fresh.
    void enter_state(host_state state);

private:
    /// What is known of an instance of a known roster.
    struct statement {
        kernel::version_number version;
        std::optional<kernel::time_point> as_of;
        host_state state = host_state::serving;
    };

    struct dated_roster {
        /// Version that brought the roster.
        kernel::version_number from;
        configuration::roster hosts;
    };

    struct dated_version {
        kernel::version_number version;
        kernel::time_point at;
    };

    /// Condition (b) holds after `after` until `until`, ends excluded and included.
    struct validity {
        kernel::time_point after;
        kernel::time_point until;
    };

    void take_up(kernel::version_number version, const configuration::chain_hash& hash, kernel::time_point now);
    void merge(const kernel::instance_id& instance, const statement& heard);
    void merge_observation(const dated_version& heard);
    void note_accepted(kernel::version_number version, kernel::time_point now);
    void update(kernel::time_point now);
    void mark_predecessors();
    void forget_unlisted();
    [[nodiscard]] validity compute_quorum_validity() const;
    [[nodiscard]] kernel::version_number compute_accepted() const;
    [[nodiscard]] kernel::version_number quorum_level(const configuration::roster& hosts) const;
    [[nodiscard]] kernel::version_number held_by(const kernel::instance_id& instance) const;

    [[nodiscard]] const configuration::roster& current_roster() const { return rosters_.back().hosts; }

    kernel::instance_id self_;
    host_state state_ = host_state::serving;
    kernel::version_number version_;
    configuration::chain_hash hash_;
    /// Rosters in force from the newest accepted version, or from the snapshot, to the present version.
    std::deque<dated_roster> rosters_;
    std::unordered_map<kernel::instance_id, statement> statements_;
    std::optional<kernel::socket_address> own_address_;
    /// Newest observation, and the newest one of a version that is not newer than the own one.
    std::optional<dated_version> newest_observation_;
    std::optional<dated_version> held_observation_;
    std::optional<validity> quorum_validity_;
    /// Accepted versions with the time at which this host learned of it, both rising; at least one.
    std::deque<dated_version> accepted_;
    kernel::version_number newest_known_;
};

} // namespace wisterialane::peers
