#pragma once

#include "libraries/proxy/host_record.h"

#include <cstddef>
#include <vector>

namespace wisterialane::proxy {

/// The hosts among which a starting process divides what customers may use, as the store's rows name them.
struct start_fleet {
    /// Hosts of all data centres, including this one; at least 1.
    std::size_t hosts = 1;
    /// Hosts of this host's data centre, including this one; at least 1.
    std::size_t data_centre_hosts = 1;
    /// This host's place among all hosts, from 0: by rank within the data centre, then by data centre. Callers were
    /// most likely given the addresses of the first ones.
    std::size_t place = 0;

    /// Part of the quota that belongs to this host's data centre.
    [[nodiscard]] double data_centre_share() const
    {
        return static_cast<double>(data_centre_hosts) / static_cast<double>(hosts);
    }

    friend bool operator==(const start_fleet&, const start_fleet&) = default;
};

/// Returns this host's part in the fleet that the rows name. All hosts that read the same rows compute it alike.
[[nodiscard]] start_fleet make_start_fleet(const host_record& self, std::vector<host_record> rows);

} // namespace wisterialane::proxy
