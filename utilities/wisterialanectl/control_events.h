#pragma once

#include <string_view>

namespace wisterialane::control {

/// Failures 9100 to 9199, part of the operator interface's range.
enum class control_event {
    wrong_usage = 9100,
    host_unreachable = 9101,
    unexpected_answer = 9102,
    file_unreadable = 9103,
    file_unwritable = 9104,
    version_not_accepted = 9105,
    answer_lost = 9106,
};

[[nodiscard]] std::string_view to_name(control_event event);

} // namespace wisterialane::control
