#pragma once

#include "kernel/identifiers.h"
#include "utilities/wisterialanectl/control_failure.h"

#include <chrono>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace wisterialane::control {

enum class output_form { table, json };

/// The command line and environment of one run.
struct control_settings {
    kernel::socket_address operator_address;
    std::string token;
    output_form output = output_form::table;
    std::chrono::milliseconds timeout{30'000};
    /// How long to wait until a published version is accepted.
    std::optional<std::chrono::milliseconds> wait;
    /// Where `create-key` writes its proposal; empty for standard output.
    std::string proposal_file;
    std::optional<unsigned> limit;
    std::string after;
    std::string command;
    std::vector<std::string> arguments;
    bool help = false;
};

/// Reads the flags, and for those not given the environment. Fails with `wrong_usage`.
control_result<control_settings> read_settings(int argument_count, const char* const* arguments);

void print_help(std::ostream& stream);

} // namespace wisterialane::control
