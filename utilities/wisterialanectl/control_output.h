#pragma once

#include "utilities/wisterialanectl/control_failure.h"

#include <iosfwd>

#include <nlohmann/json.hpp>

/// Human forms of the host's answers.
namespace wisterialane::control {

void print_proposal(std::ostream& stream, const nlohmann::json& proposal);
void print_proposals(std::ostream& stream, const nlohmann::json& answer);
void print_configuration(std::ostream& stream, const nlohmann::json& answer);
void print_history(std::ostream& stream, const nlohmann::json& answer);
void print_status(std::ostream& stream, const nlohmann::json& answer);
void print_version(std::ostream& stream, const nlohmann::json& answer);
void print_differences(std::ostream& stream, const nlohmann::json& answer);

/// Faults and conflicts, one a line; prints nothing for other failures.
void print_details(std::ostream& stream, const control_failure& failure);

} // namespace wisterialane::control
