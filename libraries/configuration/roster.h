#pragma once

#include "kernel/identifiers.h"

#include <cstddef>
#include <vector>

namespace wisterialane::configuration {

struct roster_entry {
    kernel::instance_id instance;
    kernel::host_name host;
    kernel::data_centre_name data_centre;
    kernel::socket_address caller_address;
    kernel::socket_address operator_address;
    kernel::socket_address peer_address;

    friend bool operator==(const roster_entry&, const roster_entry&) = default;
};

/// The agreed host instances, part of the configuration log, sorted by instance id.
struct roster {
    std::vector<roster_entry> entries;

    [[nodiscard]] const roster_entry* find(const kernel::instance_id& instance) const;

    /// The smallest number of instances that is more than 60 % of the roster. Two rosters that differ in less than a
    /// fifth of their entries have no disjoint quorums.
    [[nodiscard]] std::size_t quorum() const;

    friend bool operator==(const roster&, const roster&) = default;
};

} // namespace wisterialane::configuration
