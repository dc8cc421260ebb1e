#pragma once

#include "kernel/clock.h"
#include "libraries/proxy/active_position.h"

#include <optional>
#include <vector>

namespace wisterialane::proxy {

/// The places among the active hosts that this host has held recently.
///
/// Hosts learn of a change of the active hosts at different times. A host that acts only if each of its recent places
/// permits it never acts together with the hosts that still follow the places before the change.
class recent_positions {
public:
    /// Places that were given up longer ago than this are forgotten: hosts disagree for up to two seconds, and what a
    /// host sent on its old place counts in the second after that.
    static constexpr kernel::duration memory = std::chrono::seconds{3};

    /// Records the present place; empty while the host is on standby.
    void record(std::optional<active_position> position, kernel::time_point now);

    /// The places held within `memory`, the present one last. Before the first record the host had none.
    [[nodiscard]] std::vector<std::optional<active_position>> recent(kernel::time_point now) const;

private:
    struct held_position {
        std::optional<active_position> position;
        /// When it was given up; the greatest time for the present one.
        kernel::time_point until = kernel::time_point::max();
    };

    [[nodiscard]] static bool is_recent(const held_position& held, kernel::time_point now);

    std::vector<held_position> held_{held_position{}};
};

} // namespace wisterialane::proxy
