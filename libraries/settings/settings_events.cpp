#include "libraries/settings/settings_events.h"

namespace wisterialane::settings {

std::string_view to_name(settings_event event)
{
    switch (event) {
    case settings_event::unknown_flag:
        return "unknown_flag";
    case settings_event::missing_value:
        return "missing_value";
    case settings_event::invalid_value:
        return "invalid_value";
    case settings_event::value_out_of_range:
        return "value_out_of_range";
    case settings_event::malformed_command_line:
        return "malformed_command_line";
    }
    return "unknown";
}

} // namespace wisterialane::settings
