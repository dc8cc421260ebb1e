#include "libraries/platform/platform_events.h"

namespace wisterialane::platform {

std::string_view to_name(platform_event event)
{
    switch (event) {
    case platform_event::unreachable:
        return "unreachable";
    case platform_event::timeout:
        return "timeout";
    case platform_event::outcome_unknown:
        return "outcome_unknown";
    case platform_event::conflict:
        return "conflict";
    case platform_event::unexpected_answer:
        return "unexpected_answer";
    case platform_event::not_found:
        return "not_found";
    }
    return "unknown";
}

} // namespace wisterialane::platform
