#include "libraries/peers/peers_events.h"

namespace wisterialane::peers {

std::string_view to_name(peers_event event)
{
    switch (event) {
    case peers_event::malformed_envelope:
        return "malformed_envelope";
    case peers_event::envelope_too_large:
        return "envelope_too_large";
    case peers_event::unknown_protocol_version:
        return "unknown_protocol_version";
    case peers_event::wrong_hmac:
        return "wrong_hmac";
    case peers_event::unexpected_content:
        return "unexpected_content";
    case peers_event::request_id_mismatch:
        return "request_id_mismatch";
    case peers_event::hmac_failed:
        return "hmac_failed";
    case peers_event::call_timeout:
        return "call_timeout";
    case peers_event::call_failed:
        return "call_failed";
    case peers_event::request_refused:
        return "request_refused";
    case peers_event::listen_failed:
        return "listen_failed";
    case peers_event::envelope_dropped:
        return "envelope_dropped";
    case peers_event::channel_retired:
        return "channel_retired";
    case peers_event::pull_failed:
        return "pull_failed";
    case peers_event::records_unusable:
        return "records_unusable";
    case peers_event::conflicting_hash:
        return "conflicting_hash";
    case peers_event::draining_started:
        return "draining_started";
    case peers_event::peer_departed:
        return "peer_departed";
    case peers_event::malformed_accepted_version:
        return "malformed_accepted_version";
    }
    return "unknown";
}

} // namespace wisterialane::peers
