#pragma once

#include "kernel/failure.h"
#include "tests/stand_ins/platform/availability.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace wisterialane::stand_ins {

/// The behaviour of the stand-in, which tests change while it runs.
struct platform_settings {
    /// While away, connections are closed without an answer and requests have no effect.
    availability presence = availability::available;
    /// Wait before each request takes effect.
    std::chrono::milliseconds delay{0};
    /// That many next writes to rows and objects take effect without an answer. Announcements of hosts do not count,
    /// because they are frequent and would use the number up.
    std::uint64_t lose_write_answers = 0;
    std::chrono::milliseconds host_list_lag{0};
    std::chrono::milliseconds host_list_expiry{3'000};
};

[[nodiscard]] std::string write_platform_settings(const platform_settings& settings);

/// Replaces the fields that the JSON text contains. Fails with `malformed_request` for unknown fields and wrong types.
kernel::result<platform_settings> merge_platform_settings(platform_settings settings, std::string_view text);

} // namespace wisterialane::stand_ins
