#pragma once

#include <cstddef>

namespace wisterialane::proxy {

/// A host's place among the active hosts of all data centres, in an order that all hosts compute alike.
struct active_position {
    std::size_t index = 0;
    /// Number of active hosts, at least 1.
    std::size_t hosts = 1;

    friend bool operator==(const active_position&, const active_position&) = default;
};

} // namespace wisterialane::proxy
