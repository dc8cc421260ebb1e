#include "services/operator_events.h"

namespace wisterialane::services {

std::string_view to_name(operator_event event)
{
    switch (event) {
    case operator_event::operator_listening:
        return "operator_listening";
    case operator_event::not_authenticated:
        return "not_authenticated";
    case operator_event::unknown_path:
        return "unknown_path";
    case operator_event::method_not_allowed:
        return "method_not_allowed";
    case operator_event::invalid_operator_entry:
        return "invalid_operator_entry";
    case operator_event::operator_action:
        return "operator_action";
    case operator_event::action_refused:
        return "action_refused";
    case operator_event::invalid_parameter:
        return "invalid_parameter";
    }
    return "unknown";
}

} // namespace wisterialane::services
