#pragma once

#include "kernel/identifiers.h"
#include "libraries/configuration/roster.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace wisterialane::services {

struct address_query {
    kernel::service_name service;
    /// Where the caller is nearest to.
    kernel::data_centre_name data_centre;
    /// The customer's home instances, which hold its tokens; empty for callers without a key.
    std::vector<configuration::roster_entry> homes;
    /// Instances that may be given to callers.
    std::vector<configuration::roster_entry> live;
};

/// Addresses to give to a caller, best first: homes in its data centre, homes elsewhere, other hosts in its data
/// centre, others. Within each group the order is random, so that callers spread. `random(n)` returns a number below n.
[[nodiscard]] std::vector<kernel::socket_address>
order_addresses(const address_query& query, const std::function<std::size_t(std::size_t)>& random);

/// The JSON answer of `GET /.wisterialane/addresses`.
[[nodiscard]] std::string render_addresses(const kernel::service_name& service,
                                           const std::vector<kernel::socket_address>& addresses,
                                           std::chrono::milliseconds keep, kernel::version_number version);

} // namespace wisterialane::services
