#pragma once

#include <string_view>

namespace wisterialane::peers {

/// Events and failures 4000 to 4999.
enum class peers_event {
    malformed_envelope = 4000,
    envelope_too_large = 4001,
    unknown_protocol_version = 4002,
    wrong_hmac = 4003,
    unexpected_content = 4004,
    request_id_mismatch = 4005,
    hmac_failed = 4006,
    call_timeout = 4007,
    call_failed = 4008,
    request_refused = 4009,
    listen_failed = 4010,
    envelope_dropped = 4011,
    channel_retired = 4012,
    pull_failed = 4013,
    records_unusable = 4014,
    conflicting_hash = 4015,
    draining_started = 4016,
    peer_departed = 4017,
    malformed_accepted_version = 4018,
};

[[nodiscard]] std::string_view to_name(peers_event event);

} // namespace wisterialane::peers
