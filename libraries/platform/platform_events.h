#pragma once

#include <string_view>

namespace wisterialane::platform {

/// Events and failures 2000 to 2999.
enum class platform_event {
    unreachable = 2000,
    timeout = 2001,
    outcome_unknown = 2002,
    conflict = 2003,
    unexpected_answer = 2004,
    not_found = 2005,
};

[[nodiscard]] std::string_view to_name(platform_event event);

} // namespace wisterialane::platform
