#include "libraries/configuration/configuration_events.h"

namespace wisterialane::configuration {

std::string_view to_name(configuration_event event)
{
    switch (event) {
    case configuration_event::malformed_input:
        return "malformed_input";
    case configuration_event::invalid_name:
        return "invalid_name";
    case configuration_event::value_out_of_range:
        return "value_out_of_range";
    case configuration_event::unknown_field:
        return "unknown_field";
    case configuration_event::missing_field:
        return "missing_field";
    case configuration_event::unknown_reference:
        return "unknown_reference";
    case configuration_event::object_in_use:
        return "object_in_use";
    case configuration_event::object_missing:
        return "object_missing";
    case configuration_event::duplicate_change:
        return "duplicate_change";
    case configuration_event::duplicate_value:
        return "duplicate_value";
    case configuration_event::key_already_withdrawn:
        return "key_already_withdrawn";
    case configuration_event::input_too_large:
        return "input_too_large";
    case configuration_event::version_gap:
        return "version_gap";
    case configuration_event::hash_mismatch:
        return "hash_mismatch";
    case configuration_event::proposal_conflict:
        return "proposal_conflict";
    case configuration_event::proposal_unknown:
        return "proposal_unknown";
    case configuration_event::proposal_already_published:
        return "proposal_already_published";
    case configuration_event::review_missing:
        return "review_missing";
    case configuration_event::reviewer_is_author:
        return "reviewer_is_author";
    case configuration_event::publish_outcome_unknown:
        return "publish_outcome_unknown";
    case configuration_event::version_applied:
        return "version_applied";
    case configuration_event::version_accepted:
        return "version_accepted";
    case configuration_event::version_raced:
        return "version_raced";
    case configuration_event::snapshot_stored:
        return "snapshot_stored";
    case configuration_event::configuration_stale:
        return "configuration_stale";
    case configuration_event::configuration_fresh:
        return "configuration_fresh";
    case configuration_event::roster_changed:
        return "roster_changed";
    case configuration_event::check_failed:
        return "check_failed";
    }
    return "unknown";
}

} // namespace wisterialane::configuration
