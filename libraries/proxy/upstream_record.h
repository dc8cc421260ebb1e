#pragma once

#include "kernel/identifiers.h"

#include <chrono>
#include <cstdint>

namespace wisterialane::proxy {

enum class upstream_phase { ready, draining };

/// An upstream as its entry in the store describes it.
struct upstream_record {
    kernel::upstream_name id;
    kernel::service_name service;
    kernel::socket_address address;
    kernel::data_centre_name data_centre;
    /// Requests that it runs at the same time.
    unsigned slots = 1;
    upstream_phase phase = upstream_phase::ready;
    /// Time for which it was still cold when it wrote the entry.
    std::chrono::milliseconds remaining_warm_up{0};
    /// Rises each time the upstream writes the entry; 0 if unknown.
    std::int64_t sequence = 0;
    /// Unix time of its start; distinguishes two processes under one id.
    std::int64_t started_at_ms = 0;
};

} // namespace wisterialane::proxy
