#pragma once

#include "libraries/http/header_list.h"

#include <cstdint>
#include <string>

namespace wisterialane::http {

struct request_head {
    std::string method;
    /// Path and query as received, not decoded.
    std::string target;
    header_list headers;
};

struct response_head {
    int status = 200;
    header_list headers;
};

/// A response whose whole body is in memory.
struct buffered_response {
    response_head head;
    std::string body;
};

/// How the end of a body is found.
enum class body_framing { none, length, chunked };

struct body_size {
    body_framing framing = body_framing::none;
    /// Bytes; meaningful for `body_framing::length`.
    std::uint64_t length = 0;
};

/// The standard reason phrase of a status, or "Status".
[[nodiscard]] const char* reason_phrase(int status);

} // namespace wisterialane::http
