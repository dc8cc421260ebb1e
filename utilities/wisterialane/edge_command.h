#pragma once

#include <string>
#include <vector>

namespace wisterialane {

/// Runs `wisterialane edge`, an event-driven host on a platform that needs no disk. Returns the exit code: 0 after an
/// orderly stop, 2 for invalid settings, 3 if it cannot listen on an address.
[[nodiscard]] int run_edge_command(const std::vector<std::string>& arguments);

} // namespace wisterialane
