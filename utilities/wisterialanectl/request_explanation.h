#pragma once

#include "utilities/wisterialanectl/log_line.h"

#include <cstddef>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace wisterialane::control {

/// What the lines of a host, or of several, say about one request.
struct request_explanation {
    /// The request's own lines and those about its upstreams shortly before it ended, in order of time.
    std::vector<log_line> lines;
    /// Why it ended as it did, in one sentence; empty if no line says how it ended.
    std::string cause;
    /// Lines that are no lines of a decision log.
    std::size_t skipped = 0;
};

/// Reads all lines. A request without lines gets an explanation without lines.
[[nodiscard]] request_explanation explain_request(std::istream& from, const std::string& request);

void print_table(std::ostream& to, const std::string& request, const request_explanation& explanation);
void print_json(std::ostream& to, const std::string& request, const request_explanation& explanation);

/// The command `explain`. Returns the exit code of the program.
[[nodiscard]] int run_explain_command(int argument_count, char** arguments);

} // namespace wisterialane::control
