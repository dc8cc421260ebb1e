#pragma once

#include "kernel/identifiers.h"

namespace wisterialane::proxy {

/// The addresses and the capacity of a host.
struct host_record {
    kernel::host_name host;
    kernel::data_centre_name data_centre;
    /// For requests of callers.
    kernel::socket_address caller_address;
    /// For messages of other hosts.
    kernel::socket_address peer_address;
    /// Processor time that the host may use, in cores.
    double processor_cores = 1;

    friend bool operator==(const host_record&, const host_record&) = default;
};

} // namespace wisterialane::proxy
