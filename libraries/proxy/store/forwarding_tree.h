#pragma once

#include <cstddef>
#include <vector>

namespace wisterialane::proxy {

/// Number of hosts to which a host passes on a part of a document. The link of a host then carries a few copies instead
/// of one for each host of its data centre, and 73 hosts are reached in two steps.
inline constexpr std::size_t forwarding_fan_out = 8;

/// Returns the places of the hosts to which a host passes a part on, among `hosts` hosts that all order alike. `root`
/// is the place of the host that begins, `self` that of the one that passes on.
[[nodiscard]] std::vector<std::size_t> forwarding_targets(std::size_t hosts, std::size_t root, std::size_t self);

} // namespace wisterialane::proxy
