#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/configuration/fault.h"
#include "libraries/configuration/publisher.h"
#include "libraries/http/message.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace wisterialane::services {

/// One authenticated request of an operator.
struct operator_request {
    kernel::operator_name sender;
    std::string method;
    /// Parts of the path between slashes.
    std::vector<std::string> segments;
    std::map<std::string, std::string> query;
    std::string body;
};

struct operator_response {
    int status = 200;
    nlohmann::json body;
};

/// Takes the path and query of a request target apart; percent signs are kept, as no name contains any.
void read_target(std::string_view target, operator_request& request);

/// `{"error": {"number", "name", "subject"}}` with the status that fits the failure.
[[nodiscard]] operator_response describe(const kernel::failure& reason);

/// As `check_failed`, with a member `faults`.
[[nodiscard]] operator_response describe(const std::vector<configuration::fault>& faults);

/// With the members `conflicts` or `faults` where the refusal has them.
[[nodiscard]] operator_response describe(const configuration::publish_refusal& refusal);

} // namespace wisterialane::services
