#include "libraries/http/socket_address.h"

#include "libraries/http/http_events.h"

#include <charconv>

#include <arpa/inet.h>

namespace wisterialane::http {

kernel::result<parsed_socket_address> parse_socket_address(const kernel::socket_address& address)
{
    const auto& text = address.value();
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return kernel::fail(http_event::invalid_address, text);
    }
    parsed_socket_address parsed{text.substr(0, colon), 0};
    const char* first = text.data() + colon + 1;
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(first, last, parsed.port);
    in_addr ignored{};
    if (error != std::errc{} || end != last || ::inet_pton(AF_INET, parsed.ip.c_str(), &ignored) != 1) {
        return kernel::fail(http_event::invalid_address, text);
    }
    return parsed;
}

} // namespace wisterialane::http
