#pragma once

#include "kernel/identifiers.h"

#include <chrono>
#include <cstdint>

namespace wisterialane::proxy {

enum class upstream_phase { ready, draining };

/// What an upstream says of itself.
struct upstream_record {
    kernel::upstream_name id;
    kernel::service_name service;
    kernel::socket_address address;
    kernel::data_centre_name data_centre;
    /// Requests that it works on at once.
    unsigned slots = 1;
    upstream_phase phase = upstream_phase::ready;
    /// How much longer it is slow after its start.
    std::chrono::milliseconds remaining_warm_up{0};
    /// Unix time of its start in milliseconds; tells apart two runs under one id.
    std::int64_t started_at_ms = 0;
};

} // namespace wisterialane::proxy
