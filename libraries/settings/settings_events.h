#pragma once

#include <string_view>

namespace wisterialane::settings {

/// Failures 10000 to 10999.
enum class settings_event {
    unknown_flag = 10000,
    missing_value = 10001,
    invalid_value = 10002,
    value_out_of_range = 10003,
    malformed_command_line = 10004,
};

[[nodiscard]] std::string_view to_name(settings_event event);

} // namespace wisterialane::settings
