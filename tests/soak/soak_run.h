#pragma once

#include <chrono>
#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace wisterialane::soak {

struct soak_options {
    unsigned seed = 1;
    /// Time in which faults are injected.
    std::chrono::seconds fault_duration{12};
    /// Program that half of the hosts of each data centre run, by its name in the folder of `wisterialane`.
    std::string second_program = "wisterialane";
    /// Prints each fault as it begins.
    std::ostream* trace = nullptr;
};

struct soak_result {
    std::size_t requests = 0;
    std::size_t served = 0;
    /// Requests sent after the recovery from all faults, and how many of them were served.
    std::size_t requests_after_recovery = 0;
    std::size_t served_after_recovery = 0;
    /// One line for each violation of a guarantee.
    std::vector<std::string> violations;
};

/// Runs hosts as processes between stand-ins, injects faults drawn from a seed, and checks the guarantees of the proxy
/// by what callers and upstreams observe.
[[nodiscard]] soak_result run_soak(const soak_options& options);

} // namespace wisterialane::soak
