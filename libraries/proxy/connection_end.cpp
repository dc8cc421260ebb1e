#include "libraries/proxy/connection_end.h"

namespace wisterialane::proxy {

std::string_view to_name(connection_end reason)
{
    switch (reason) {
    case connection_end::caller_closed:
        return "caller_closed";
    case connection_end::response_sent:
        return "response_sent";
    case connection_end::idle_timeout:
        return "idle_timeout";
    case connection_end::header_timeout:
        return "header_timeout";
    case connection_end::body_timeout:
        return "body_timeout";
    case connection_end::response_timeout:
        return "response_timeout";
    case connection_end::host_stopping:
        return "host_stopping";
    case connection_end::aborted:
        break;
    }
    return "aborted";
}

} // namespace wisterialane::proxy
