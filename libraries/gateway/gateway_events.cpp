#include "libraries/gateway/gateway_events.h"

namespace wisterialane::gateway {

std::string_view to_name(gateway_event event)
{
    switch (event) {
    case gateway_event::malformed_target:
        return "malformed_target";
    case gateway_event::key_in_path:
        return "key_in_path";
    case gateway_event::conflicting_keys:
        return "conflicting_keys";
    case gateway_event::draining_started:
        return "draining_started";
    case gateway_event::draining_finished:
        return "draining_finished";
    case gateway_event::answer_mismatched:
        return "answer_mismatched";
    case gateway_event::request_quarantined:
        return "request_quarantined";
    case gateway_event::outcome_unknown:
        return "outcome_unknown";
    }
    return "unknown";
}

} // namespace wisterialane::gateway
