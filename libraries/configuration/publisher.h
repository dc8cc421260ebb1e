#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/configuration/configuration_set.h"
#include "libraries/configuration/fault.h"
#include "libraries/configuration/log_store.h"
#include "libraries/configuration/proposal_store.h"

#include <set>
#include <vector>

namespace wisterialane::configuration {

/// Why a proposal was not published.
struct publish_refusal {
    kernel::failure reason;
    /// With `proposal_conflict`: the objects that have changed since the proposal's base version, sorted.
    std::vector<object_reference> conflicts;
    /// With `check_failed`: what is wrong against the newest set.
    std::vector<fault> faults;
};

/// Whether each change sets an existing key, unchanged otherwise, to withdrawn. False for an empty list.
[[nodiscard]] bool only_withdraws_keys(const configuration_set& set, const std::vector<change>& changes);

/// Publishes proposals through the log. Thread-safe.
class publisher {
public:
    publisher(log_store& log, proposal_store& proposals) : log_{log}, proposals_{proposals} {}

    /// Publishes the proposal as the next version and returns that version. `current` may be behind the log; it is
    /// brought up to date first. Refusals by decision: `review_missing`, `proposal_conflict`, `check_failed`,
    /// `proposal_already_published` (its subject is the version), `proposal_unknown`. `version_raced` means that other
    /// versions won too often and nothing was written; `publish_outcome_unknown` means that the record may be or become
    /// the next version: publishing again is safe, because the log is searched for the proposal first and because a
    /// delayed record can only take the version that the next attempt takes, too.
    ///
    /// Reading the log costs one scan per 100 versions since the proposal's base version.
    /// FIXME: the copy of the set costs its whole size; at the target size, check under the reader's lock instead.
    tl::expected<kernel::version_number, publish_refusal>
    publish(const kernel::proposal_id& id, const kernel::operator_name& publishing_operator, configuration_set current);

private:
    /// One publish in progress.
    struct attempt {
        proposal item;
        std::set<object_reference> targets;
        configuration_set set;
        kernel::version_number last_read;
        std::set<object_reference> conflicts;
    };

    tl::expected<void, publish_refusal> catch_up(attempt& state);
    tl::expected<void, publish_refusal> take_record(attempt& state, const record& next);
    void note_published(const kernel::proposal_id& id, kernel::version_number version);

    log_store& log_;
    proposal_store& proposals_;
};

} // namespace wisterialane::configuration
