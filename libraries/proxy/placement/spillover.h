#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wisterialane::proxy {

/// Demand and supply of one service in one data centre.
struct spillover_input {
    kernel::data_centre_name data_centre;
    /// Slots that the requests of its callers keep in use, wherever these are served.
    double demand_slots = 0;
    /// Slots of its upstreams that take requests.
    double healthy_slots = 0;
    /// Time for which its callers' requests wait in the hosts' queues.
    kernel::duration waiting{};
    /// Time of the newest report.
    kernel::time_point reported_at{};
};

/// How much of a service's traffic leaves a data centre now, and where it goes.
struct spillover_decision {
    /// Whether the demand and the supply of the own data centre are known. If not, requests are sent as if there were
    /// no decision.
    bool known = false;
    /// Fraction of the requests of the own data centre that leaves it, by destination.
    std::map<kernel::data_centre_name, double> shares;
    /// Data centres that take further requests for which no local slot is free.
    std::map<kernel::data_centre_name, bool> admits;

    [[nodiscard]] double leaving() const;

    /// Whether a request for which no local slot is free may go there. Data centres without a recent report may be
    /// used, as if there were no decision.
    [[nodiscard]] bool admits_overflow(const kernel::data_centre_name& data_centre) const;
};

/// An input older than this counts as unknown; active hosts report twice a second.
inline constexpr kernel::duration spillover_input_lifetime = std::chrono::milliseconds{2500};

/// Decides for the data centre `local`. Written for 3 or 4 data centres whose demand varies by half of its mean, out of
/// phase, with reports that are up to 1 s late.
///
/// The excess of all data centres is divided among the room of the others, in proportion to both, so that all hosts
/// compute matching parts without agreeing. The demand of a data centre is that of its own callers, which does
/// not depend on where they are served, apart from the latency that it is counted with. So late reports delay a
/// decision without making it oscillate. All parts change continuously with the inputs; there is no threshold at which
/// all traffic moves.
[[nodiscard]] spillover_decision decide_spillover(const kernel::data_centre_name& local,
                                                  const std::vector<spillover_input>& inputs, kernel::time_point now);

/// The destinations and their shares, such as `a=0.12,b=0.05`; empty if nothing leaves.
[[nodiscard]] std::string shares_text(const spillover_decision& decision);

/// The inputs, such as `a=12.5/40/0/250`: demand and healthy slots, waiting time and age in milliseconds.
[[nodiscard]] std::string inputs_text(const std::vector<spillover_input>& inputs, kernel::time_point now);

/// Factor of the cost of an upstream in another data centre for a request with a body of this size; 0 if unknown.
[[nodiscard]] double remote_cost_factor(std::uint64_t body_bytes);

/// Requests of this size are passed over when others leave the data centre, until the part of them that should have
/// left reaches this number of requests.
[[nodiscard]] double leaving_threshold(std::uint64_t body_bytes);

} // namespace wisterialane::proxy
