#pragma once

#include <cstddef>
#include <string>

namespace wisterialane::kernel {

/// Returns `digits` random lower-case hex digits from the system's random source.
[[nodiscard]] std::string random_hex(std::size_t digits);

} // namespace wisterialane::kernel
