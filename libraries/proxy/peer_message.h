#pragma once

#include "kernel/failure.h"
#include "libraries/proxy/peer_directory.h"
#include "libraries/proxy/placement/service_supply.h"
#include "libraries/proxy/service_results.h"
#include "libraries/proxy/store/document_part.h"
#include "libraries/proxy/store_relay.h"
#include "libraries/proxy/upstream_health.h"
#include "libraries/proxy/upstream_notice.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisterialane::proxy {

/// An exchange with an upstream that failed or was its successful trial, reported to other hosts.
struct shared_evidence {
    kernel::upstream_name upstream;
    exchange_outcome outcome = exchange_outcome::neutral;
    /// Fingerprint of the request during which the upstream closed the connection without an answer; 0 for other
    /// failures.
    std::uint64_t fingerprint = 0;
    /// What the upstream said of itself, if that changed.
    std::optional<upstream_notice> notice;
};

/// One datagram between hosts: the sender's record, its state and new evidence.
struct peer_message {
    host_record sender;
    host_state state;
    std::vector<shared_evidence> evidence;
    /// Set in messages of a store reader.
    std::optional<store_relay> relay;
    /// Results of the sender's requests by service; empty in messages that do not report them.
    std::optional<service_counts> results;
    /// Fill levels of the customers' quotas, for a host that has just started.
    std::optional<quota_levels> levels;
    /// A part of a configuration document.
    std::optional<document_part> document = std::nullopt;
    /// What the sender sees of each service's upstreams in its data centre.
    std::optional<service_supplies> supply = std::nullopt;
};

/// Encodes the message as CBOR.
[[nodiscard]] std::string encode(const peer_message& message);

/// Decodes a CBOR message. Fails with `peer_message_unreadable`.
[[nodiscard]] kernel::result<peer_message> decode_peer_message(std::string_view bytes);

} // namespace wisterialane::proxy
