#pragma once

#include <string_view>

namespace wisterialane::services {

/// Events and failures 9000 to 9099; `wisterialanectl` has 9100 to 9199.
enum class operator_event {
    operator_listening = 9000,
    not_authenticated = 9001,
    unknown_path = 9002,
    method_not_allowed = 9003,
    invalid_operator_entry = 9004,
    operator_action = 9005,
    action_refused = 9006,
    invalid_parameter = 9007,
};

[[nodiscard]] std::string_view to_name(operator_event event);

} // namespace wisterialane::services
