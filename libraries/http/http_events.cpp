#include "libraries/http/http_events.h"

namespace wisterialane::http {

std::string_view to_name(http_event event)
{
    switch (event) {
    case http_event::address_in_use:
        return "address_in_use";
    case http_event::invalid_address:
        return "invalid_address";
    case http_event::connect_failed:
        return "connect_failed";
    case http_event::send_failed:
        return "send_failed";
    case http_event::receive_timeout:
        return "receive_timeout";
    case http_event::receive_failed:
        return "receive_failed";
    case http_event::body_cut:
        return "body_cut";
    case http_event::body_length_unknown:
        return "body_length_unknown";
    case http_event::malformed_request:
        return "malformed_request";
    case http_event::body_too_large:
        return "body_too_large";
    case http_event::interim_response:
        return "interim_response";
    }
    return "unknown";
}

} // namespace wisterialane::http
