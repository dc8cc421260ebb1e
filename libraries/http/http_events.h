#pragma once

#include <string_view>

namespace wisterialane::http {

/// Failures 1100 to 1199, part of the kernel's range.
enum class http_event {
    address_in_use = 1100,
    invalid_address = 1101,
    connect_failed = 1102,
    send_failed = 1103,
    receive_timeout = 1104,
    receive_failed = 1105,
    body_cut = 1106,
    body_length_unknown = 1107,
    malformed_request = 1108,
    body_too_large = 1109,
    interim_response = 1110,
};

[[nodiscard]] std::string_view to_name(http_event event);

} // namespace wisterialane::http
