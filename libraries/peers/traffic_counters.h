#pragma once

#include <atomic>
#include <cstdint>

namespace wisterialane::peers {

/// Bytes of envelopes and numbers of messages between this host and others. Thread-safe.
struct traffic_counters {
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> envelopes_dropped{0};
    std::atomic<std::uint64_t> channels_retired{0};
};

} // namespace wisterialane::peers
