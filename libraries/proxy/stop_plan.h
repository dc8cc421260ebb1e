#pragma once

#include "kernel/clock.h"

#include <optional>

namespace wisterialane::proxy {

/// Schedules the graceful shutdown of a process, from the stop request until the process is killed at the end of the
/// grace period: requests are served first and refused later.
class stop_plan {
public:
    void begin(kernel::time_point now, kernel::duration grace_period);

    [[nodiscard]] bool stopping() const { return began_at_.has_value(); }

    /// Whether a request that must be answered by `response_deadline` ends before the process does, however long it
    /// takes.
    [[nodiscard]] bool accepts_request(kernel::time_point response_deadline) const;

    /// Whether callers can still connect. Callers cache addresses, so connections are accepted for some time after the
    /// host stops giving out its address.
    [[nodiscard]] bool accepts_connections(kernel::time_point now) const;

    /// Whether the process must exit, even if requests are still running.
    [[nodiscard]] bool must_end(kernel::time_point now) const;

private:
    std::optional<kernel::time_point> began_at_;
    kernel::duration grace_period_{};
};

} // namespace wisterialane::proxy
