#pragma once

#include <vector>

namespace wisterialane::limits {

/// Divides `total` over the demands so that no demand gets more than it asks for and the smallest satisfied part is as
/// large as possible (max-min fairness; Bertsekas, Gallager 1992). What no demand asks for is not divided.
/// The result has one part for each demand, in the same order.
[[nodiscard]] std::vector<double> divide_max_min(double total, const std::vector<double>& demands);

} // namespace wisterialane::limits
