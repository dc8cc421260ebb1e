#pragma once

#include <string_view>

namespace wisterialane::gateway {

/// Events and failures 8000 to 8999.
enum class gateway_event {
    malformed_target = 8000,
    key_in_path = 8001,
    conflicting_keys = 8002,
    draining_started = 8003,
    draining_finished = 8004,
    answer_mismatched = 8005,
    request_quarantined = 8006,
    outcome_unknown = 8007,
};

[[nodiscard]] std::string_view to_name(gateway_event event);

} // namespace wisterialane::gateway
