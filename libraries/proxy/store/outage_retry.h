#pragma once

#include <chrono>
#include <cstddef>

namespace wisterialane::proxy {

/// A host's place among the live hosts of its data centre, in the order of their rank.
struct data_centre_position {
    std::size_t rank = 0;
    /// At least 1.
    std::size_t hosts = 1;
};

/// Returns the least delay before the next call of a host whose calls to the store fail repeatedly.
///
/// It is zero for the first hosts of a data centre, which keep trying at the usual interval and relay what they read.
/// The others only try in case none of the first ones reaches the store, at times that are spread by their rank.
[[nodiscard]] std::chrono::milliseconds outage_retry_delay(const data_centre_position& position);

} // namespace wisterialane::proxy
