#pragma once

#include "libraries/configuration/fault.h"
#include "libraries/configuration/objects.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace wisterialane::configuration {

/// Bounds the work of matching a request's path against the routes.
constexpr std::size_t maximum_path_prefix_bytes = 255;

/// Whether the text is a valid object name: `[a-z0-9][a-z0-9-]{0,62}`.
[[nodiscard]] bool is_name(std::string_view text);

/// Appends the faults that an object has by itself: names, ranges and the form of its values.
void validate(const object& item, std::vector<fault>& faults);

} // namespace wisterialane::configuration
