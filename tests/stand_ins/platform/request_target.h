#pragma once

#include "kernel/failure.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wisterialane::stand_ins {

/// The decoded parts of a request's path and query.
struct request_target {
    std::vector<std::string> segments;
    std::map<std::string, std::string, std::less<>> query;
};

/// Fails with `http_event::malformed_request` for a path without leading slash or an incomplete escape.
kernel::result<request_target> parse_request_target(std::string_view text);

} // namespace wisterialane::stand_ins
