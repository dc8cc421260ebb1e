#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"

#include <vector>

namespace wisterialane::platform {

enum class listed_role { entry_host, upstream };

enum class listed_state { live, leaving };

/// One line of the platform's host list, which may be some seconds behind.
struct listed_host {
    listed_role role = listed_role::entry_host;
    listed_state state = listed_state::live;
    kernel::host_name name;
    kernel::data_centre_name data_centre;
    /// Set for entry hosts.
    kernel::instance_id instance;
    kernel::socket_address caller_address;
    kernel::socket_address operator_address;
    kernel::socket_address peer_address;
    /// Set for upstreams.
    kernel::socket_address upstream_address;
};

/// The platform's list of machines. Thread-safe; calls block as those of `table` do.
class host_list {
public:
    host_list() = default;
    host_list(const host_list&) = delete;
    host_list& operator=(const host_list&) = delete;
    virtual ~host_list() = default;

    virtual kernel::result<std::vector<listed_host>> read() = 0;

    /// Adds this host's entry or renews it; the platform drops an entry that is not renewed.
    virtual kernel::result<void> announce(const listed_host& self) = 0;
};

} // namespace wisterialane::platform
