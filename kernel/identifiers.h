#pragma once

#include "kernel/strong_type.h"

#include <cstdint>
#include <string>

/// Strong types for the names and ids that several modules share.
namespace wisterialane::kernel {

/// Names of configured objects: `[a-z0-9][a-z0-9-]{0,62}`.
using customer_name = strong_type<struct customer_name_tag, std::string>;
using key_name = strong_type<struct key_name_tag, std::string>;
using limit_name = strong_type<struct limit_name_tag, std::string>;
using route_name = strong_type<struct route_name_tag, std::string>;
using service_name = strong_type<struct service_name_tag, std::string>;
using upstream_name = strong_type<struct upstream_name_tag, std::string>;

using data_centre_name = strong_type<struct data_centre_name_tag, std::string>;
using host_name = strong_type<struct host_name_tag, std::string>;
using operator_name = strong_type<struct operator_name_tag, std::string>;
using proposal_id = strong_type<struct proposal_id_tag, std::string>;

/// Identifies one run of a host's process: 16 random hex digits, new at each start.
using instance_id = strong_type<struct instance_id_tag, std::string>;

/// `ip:port`, where `ip` is a numeric IP address.
using socket_address = strong_type<struct socket_address_tag, std::string>;

/// Position in the configuration log; 0 is the empty configuration.
using version_number = strong_type<struct version_number_tag, std::uint64_t>;

} // namespace wisterialane::kernel
