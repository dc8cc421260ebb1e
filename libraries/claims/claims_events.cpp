#include "libraries/claims/claims_events.h"

namespace wisterialane::claims {

std::string_view to_name(claims_event event)
{
    switch (event) {
    case claims_event::claims_unavailable:
        return "claims_unavailable";
    case claims_event::claim_not_held:
        return "claim_not_held";
    case claims_event::completion_not_stored:
        return "completion_not_stored";
    case claims_event::row_malformed:
        return "row_malformed";
    case claims_event::release_deferred:
        return "release_deferred";
    case claims_event::release_dropped:
        return "release_dropped";
    }
    return "unknown";
}

} // namespace wisterialane::claims
