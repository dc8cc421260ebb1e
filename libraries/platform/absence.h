#pragma once

#include "libraries/http/message.h"

#include <string_view>

namespace wisterialane::platform {

/// The body of the 404 answer for a row or object that does not exist. Any other 404 (a wrong address, a server
/// between) must not be taken for "absent", because absence is an observation that others rely on.
constexpr std::string_view absent_body = R"({"error":"absent"})";

[[nodiscard]] inline bool says_absent(const http::buffered_response& answer)
{
    return answer.head.status == 404 && answer.body == absent_body;
}

} // namespace wisterialane::platform
