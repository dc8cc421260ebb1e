#pragma once

#include "kernel/failure.h"
#include "utilities/wisterialanectl/control_events.h"

#include <string>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

namespace wisterialane::control {

/// Results of the program, for scripts.
enum class exit_code {
    success = 0,
    unexpected = 1,
    usage = 2,
    unreachable = 3,
    refused = 4,
    faults = 5,
    conflict = 6,
    not_accepted = 7,
    not_found = 8,
    outcome_unknown = 9,
};

/// Why a command failed: here, or on the host that it asked.
struct control_failure {
    exit_code code = exit_code::unexpected;
    int number = 0;
    std::string name;
    std::string subject;
    /// The host's answer with its faults and conflicts; null for a failure of the program itself.
    nlohmann::json answer;
};

template <class T>
using control_result = tl::expected<T, control_failure>;

[[nodiscard]] tl::unexpected<control_failure> fail(exit_code code, control_event event, std::string subject);

/// The failure that a host answered with.
[[nodiscard]] control_failure failure_from(int status, const nlohmann::json& answer);

} // namespace wisterialane::control
