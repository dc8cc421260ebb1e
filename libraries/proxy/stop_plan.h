#pragma once

#include "kernel/clock.h"

#include <optional>

namespace wisterialane::proxy {

/// The end of a process in order: from the request to stop until the kill, callers are first served, then sent away.
class stop_plan {
public:
    void begin(kernel::time_point now, kernel::duration grace);

    [[nodiscard]] bool stopping() const { return began_.has_value(); }

    /// Whether a request that usually takes `typical` can be expected to end before the kill.
    [[nodiscard]] bool accepts_request(kernel::time_point now, kernel::duration typical) const;

    /// Whether callers can still connect. They keep addresses for a while, so this lasts longer than their answers.
    [[nodiscard]] bool accepts_connections(kernel::time_point now) const;

    /// Whether the process has to end, with or without running requests.
    [[nodiscard]] bool must_end(kernel::time_point now) const;

private:
    std::optional<kernel::time_point> began_;
    kernel::duration grace_{};
};

} // namespace wisterialane::proxy
