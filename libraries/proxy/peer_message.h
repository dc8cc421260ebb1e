#pragma once

#include "kernel/failure.h"
#include "libraries/proxy/peer_directory.h"
#include "libraries/proxy/service_results.h"
#include "libraries/proxy/store_relay.h"
#include "libraries/proxy/upstream_health.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisterialane::proxy {

/// A failure at an upstream that other hosts should know.
struct shared_evidence {
    kernel::upstream_name upstream;
    exchange_outcome outcome = exchange_outcome::neutral;
    /// The request that it worked on when its connection closed without an answer; 0 for other failures.
    std::uint64_t fingerprint = 0;
};

/// One datagram between hosts: who the sender is, its state, and new evidence.
struct peer_message {
    host_record sender;
    host_state state;
    std::vector<shared_evidence> evidence;
    /// From the reader of a data centre.
    std::optional<store_relay> relay;
    /// What became of the sender's requests; empty in messages that say nothing about it.
    std::optional<service_counts> results;
    /// What is left to each customer; for a host that has just started.
    std::optional<quota_levels> levels;
};

/// The message as CBOR.
[[nodiscard]] std::string encode(const peer_message& message);

/// Fails with `peer_message_unreadable`.
[[nodiscard]] kernel::result<peer_message> decode_peer_message(std::string_view bytes);

} // namespace wisterialane::proxy
