#include "libraries/health/health_events.h"

namespace wisterialane::health {

std::string_view to_name(health_event event)
{
    switch (event) {
    case health_event::upstream_ejected:
        return "upstream_ejected";
    case health_event::upstream_returning:
        return "upstream_returning";
    case health_event::upstream_restored:
        return "upstream_restored";
    case health_event::upstream_avoided:
        return "upstream_avoided";
    case health_event::ejection_withheld:
        return "ejection_withheld";
    case health_event::fingerprint_quarantined:
        return "fingerprint_quarantined";
    case health_event::upstream_leaving:
        return "upstream_leaving";
    case health_event::service_unknown:
        return "service_unknown";
    case health_event::no_usable_upstream:
        return "no_usable_upstream";
    case health_event::upstreams_busy:
        return "upstreams_busy";
    }
    return "unknown";
}

} // namespace wisterialane::health
