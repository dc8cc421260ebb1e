#pragma once

#include "kernel/identifiers.h"
#include "libraries/proxy/placement/evacuations.h"
#include "libraries/proxy/store_client.h"
#include "libraries/proxy/store_clock.h"
#include "libraries/proxy/upstream_record.h"

#include <optional>
#include <vector>

namespace wisterialane::proxy {

/// What the store reader of a data centre has read, for the other hosts there. Times are those of the store's clock.
/// Each host converts them with its own `store_clock`, so a delayed relay does not make the configuration look fresher.
struct store_relay {
    /// The newest version of the configuration at the store time `confirmed_at`.
    kernel::version_number version;
    store_time confirmed_at{};
    /// The upstreams that changed or were removed after revision `after`, up to and including `up_to`.
    store_revision after;
    store_revision up_to;
    std::vector<upstream_record> present;
    std::vector<kernel::upstream_name> removed;
    /// The evacuations as read from the operator's table; empty in relays of hosts that have not read them, or of an
    /// earlier release.
    std::optional<evacuation_state> evacuated = std::nullopt;
    /// Era of all revisions and times of this relay.
    store_era era{};
    /// Whether the store reader has also sent the parts of the configuration document of `version`.
    bool document_sent = false;
    /// Whether the store reader's calls have succeeded for so long that entries which are missing now do not reappear.
    bool store_is_stable = false;
};

} // namespace wisterialane::proxy
