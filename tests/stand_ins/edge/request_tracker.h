#pragma once

#include "kernel/clock.h"

#include <map>
#include <string>
#include <vector>

namespace wisterialane::edge_stand_ins {

/// A request as its caller sent it, the upstreams that executed it, and its response.
struct tracked_request {
    bool idempotent = false;
    std::string customer;
    std::string key;
    std::string method;
    std::string target;
    std::string body;
    std::string host;
    kernel::time_point sent_at{};
    /// Ids of the upstreams that began to execute it, in order.
    std::vector<std::string> executions;
    kernel::time_point last_execution_at{};
    /// Status of the response; 0 if the connection ended without one.
    unsigned status = 0;
    bool finished = false;
};

/// Collects what callers and upstreams observe of each request, and the violations of guarantees as lines of text.
class request_tracker {
public:
    /// By request id.
    std::map<std::string, tracked_request> requests;
    std::vector<std::string> violations;

    void report_violation(const std::string& guarantee, const std::string& request, const std::string& detail)
    {
        violations.push_back(guarantee + " " + request + " " + detail);
    }
};

/// The body of an upstream's response to a request. Hosts never produce it, so it shows that an upstream responded.
[[nodiscard]] inline std::string expected_body(const std::string& request, const std::string& target)
{
    return "answer to " + request + " for " + target;
}

} // namespace wisterialane::edge_stand_ins
