#include "libraries/limits/limits_events.h"

namespace wisterialane::limits {

std::string_view to_name(limits_event event)
{
    switch (event) {
    case limits_event::lender_unreachable:
        return "lender_unreachable";
    case limits_event::lender_recovered:
        return "lender_recovered";
    case limits_event::malformed_loan_request:
        return "malformed_loan_request";
    case limits_event::shares_changed:
        return "shares_changed";
    }
    return "unknown";
}

} // namespace wisterialane::limits
