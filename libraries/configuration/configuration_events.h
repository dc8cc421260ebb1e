#pragma once

#include <string_view>

namespace wisterialane::configuration {

/// Events and failures 3000 to 3999.
enum class configuration_event {
    malformed_input = 3000,
    invalid_name = 3001,
    value_out_of_range = 3002,
    unknown_field = 3003,
    missing_field = 3004,
    unknown_reference = 3005,
    object_in_use = 3006,
    object_missing = 3007,
    duplicate_change = 3008,
    duplicate_value = 3009,
    key_already_withdrawn = 3010,
    input_too_large = 3011,
    version_gap = 3012,
    hash_mismatch = 3013,
    proposal_conflict = 3014,
    proposal_unknown = 3015,
    proposal_already_published = 3016,
    review_missing = 3017,
    reviewer_is_author = 3018,
    publish_outcome_unknown = 3019,
    version_applied = 3020,
    version_accepted = 3021,
    version_raced = 3022,
    snapshot_stored = 3023,
    configuration_stale = 3024,
    configuration_fresh = 3025,
    roster_changed = 3026,
    check_failed = 3027,
};

[[nodiscard]] std::string_view to_name(configuration_event event);

} // namespace wisterialane::configuration
