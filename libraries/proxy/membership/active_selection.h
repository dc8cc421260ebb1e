#pragma once

#include <cstddef>
#include <vector>

namespace wisterialane::proxy {

/// Processor time of a host that is left for requests, in cores: less what messages of other hosts, the store's reader
/// and logs take.
[[nodiscard]] double request_cores(double processor_cores);

/// A ready host that callers may be sent to.
struct active_candidate {
    /// Processor time for requests, in cores.
    double cores = 0;
    /// Fraction of it that the host counts with: 1 unless its event loop is late.
    double usable_fraction = 1;
};

/// Returns the positions of the hosts, out of a list in order of rank, that callers should be sent to.
///
/// Callers choose among the named hosts with equal probability, so the one with the least processor time limits what
/// all of them can carry. Therefore hosts that are much weaker than the first ones are named only when the first ones
/// would be strained, and then so many that each can carry an equal part. If no number is enough for the demand, the
/// number with the lowest utilization is named.
///
/// Hosts whose event loop is late count with less. If a few of them are very late, the fault is theirs: they are not
/// named if the others can carry the demand. If many are, the load is greater than it seems: they stay, and more are
/// named. If all were replaced, the whole load would move on to the next ones and make these late.
///
/// @param demand processor time that the requests need, in cores.
/// @param minimum least number of hosts, if there are as many.
[[nodiscard]] std::vector<std::size_t> select_active_hosts(const std::vector<active_candidate>& ranked, double demand,
                                                           std::size_t minimum);

} // namespace wisterialane::proxy
