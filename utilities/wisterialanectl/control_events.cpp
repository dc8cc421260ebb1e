#include "utilities/wisterialanectl/control_events.h"

namespace wisterialane::control {

std::string_view to_name(control_event event)
{
    switch (event) {
    case control_event::wrong_usage:
        return "wrong_usage";
    case control_event::host_unreachable:
        return "host_unreachable";
    case control_event::unexpected_answer:
        return "unexpected_answer";
    case control_event::file_unreadable:
        return "file_unreadable";
    case control_event::file_unwritable:
        return "file_unwritable";
    case control_event::version_not_accepted:
        return "version_not_accepted";
    case control_event::answer_lost:
        return "answer_lost";
    }
    return "unknown";
}

} // namespace wisterialane::control
