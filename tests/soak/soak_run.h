#pragma once

#include <chrono>
#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace wisterialane::soak {

struct soak_options {
    unsigned seed = 1;
    std::chrono::seconds trouble{12};
    /// Prints each fault as it begins.
    std::ostream* trace = nullptr;
};

struct soak_result {
    std::size_t requests = 0;
    std::size_t served = 0;
    /// Requests sent after the last fault, and how many of them were served.
    std::size_t calm_requests = 0;
    std::size_t calm_served = 0;
    /// One line for each broken promise.
    std::vector<std::string> violations;
};

/// Runs hosts as processes between stand-ins, injects faults from a seed, and checks the promises from what callers
/// and upstreams see.
[[nodiscard]] soak_result run_soak(const soak_options& use);

} // namespace wisterialane::soak
