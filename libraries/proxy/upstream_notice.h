#pragma once

#include "kernel/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace wisterialane::proxy {

/// What an upstream says of itself in a response.
struct upstream_notice {
    /// Unix time of the upstream's start in milliseconds, to which the notice applies.
    std::int64_t started_at_ms = 0;
    /// It is being taken out of service.
    bool leaving = false;
    /// Requests per second that it takes from all hosts together.
    std::optional<double> rate_limit;
    /// Time for which it is still cold; zero if it is warm, empty if the response does not say.
    std::optional<std::chrono::milliseconds> cold_left = std::nullopt;
};

} // namespace wisterialane::proxy
