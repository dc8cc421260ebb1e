#pragma once

#include "kernel/identifiers.h"

namespace wisterialane::proxy {

/// Where a host is found.
struct host_record {
    kernel::host_name host;
    kernel::data_centre_name data_centre;
    /// For callers.
    kernel::socket_address caller_address;
    /// For messages of other hosts.
    kernel::socket_address peer_address;
    /// Processor time that it may use, in cores.
    double processor_cores = 1;
};

} // namespace wisterialane::proxy
