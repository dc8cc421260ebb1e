#pragma once

#include <string>
#include <vector>

namespace wisterialane {

/// `wisterialane edge`: an entry host on a platform, event-driven and without a disk. Returns the exit code: 0 after an
/// orderly stop, 2 for faulty settings, 3 if an address cannot be listened on.
[[nodiscard]] int run_edge_command(const std::vector<std::string>& arguments);

} // namespace wisterialane
