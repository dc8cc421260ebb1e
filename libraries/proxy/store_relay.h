#pragma once

#include "kernel/identifiers.h"
#include "libraries/proxy/store_client.h"
#include "libraries/proxy/store_clock.h"
#include "libraries/proxy/upstream_record.h"

#include <vector>

namespace wisterialane::proxy {

/// What the reader of a data centre has just read from the store, for the other hosts there. Times are the store's, so
/// that each host dates the observation by its own calls and a delayed message proves no more than it should.
struct store_relay {
    /// The newest version of the configuration when the store's clock showed `confirmed`.
    kernel::version_number version;
    store_time confirmed_at{};
    /// The changes among the upstreams after one revision and up to another.
    store_revision after;
    store_revision up_to;
    std::vector<upstream_record> present;
    std::vector<kernel::upstream_name> removed;
};

} // namespace wisterialane::proxy
