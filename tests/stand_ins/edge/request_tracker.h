#pragma once

#include "kernel/clock.h"

#include <map>
#include <string>
#include <vector>

namespace wisterialane::edge_stand_ins {

/// A request as its caller sent it, what the upstreams did with it and what the caller got.
struct tracked_request {
    bool idempotent = false;
    std::string customer;
    std::string key;
    std::string method;
    std::string target;
    std::string body;
    std::string host;
    kernel::time_point sent_at{};
    /// Upstreams that began to work on it.
    std::vector<std::string> executions;
    kernel::time_point last_execution_at{};
    /// The answer; 0 if the connection ended without one.
    unsigned status = 0;
    bool ended = false;
};

/// What callers, upstreams and hosts have seen of each request; broken promises are collected as lines of text.
class request_tracker {
public:
    /// By request id.
    std::map<std::string, tracked_request> requests;
    std::vector<std::string> violations;

    void report_violation(const std::string& promise, const std::string& request, const std::string& detail)
    {
        violations.push_back(promise + " " + request + " " + detail);
    }
};

/// The answer that an upstream gives to a request; only it knows how to make one.
[[nodiscard]] inline std::string expected_body(const std::string& request, const std::string& target)
{
    return "answer to " + request + " for " + target;
}

} // namespace wisterialane::edge_stand_ins
