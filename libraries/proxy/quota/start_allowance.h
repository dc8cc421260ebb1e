#pragma once

#include "kernel/clock.h"
#include "libraries/proxy/quota/start_fleet.h"

#include <cstdint>
#include <optional>

namespace wisterialane::proxy {

/// What a customer may use on this host in the first window after a start, when nobody knows what it used before.
///
/// Whatever was used before the start, the rate from the start on and the excess that operators tolerate stay within
/// the bound. Both are divided among the data centres by their numbers of hosts, because the hosts of a data centre
/// hear each other and those of others may not. Within the data centre each host has whole requests of the excess and a
/// share of the rate that follows the admissions: (own + c) / (all + c x hosts). The shares add up to 1 and move to the
/// hosts that callers use. While much of the data centre's part is left, a host that hears the others, or
/// was told the fill level, uses it without a share.
class start_allowance {
public:
    /// `excess` is the number of requests above the rate that may be used at the start, over all hosts.
    start_allowance(double rate, double excess, const start_fleet& fleet, kernel::time_point now);

    /// Adds what the time since the last call allows.
    void refill(kernel::time_point now);

    /// Whether one more request may be admitted. `hears_others`: messages of most hosts of the data centre arrive.
    [[nodiscard]] bool can_admit(bool hears_others) const;

    /// Time until `can_admit` may be true, after a refusal.
    [[nodiscard]] std::chrono::duration<double> wait() const;

    /// Replaces what is left of the excess by what a host that was not killed knows to be left of the burst. `level` is
    /// the fill level of its bucket, from 0 to 1. If several hosts send levels, the lowest one applies.
    void apply_level(double level, double burst);

    void record_own_admission();

    /// Records requests that another host of this data centre has admitted.
    void record_neighbour_admissions(std::uint64_t requests);

    /// Whether so little is left that every admission has to be reported at once.
    [[nodiscard]] bool is_low() const;

private:
    /// This host's part of the data centre's rate.
    [[nodiscard]] double share() const;
    [[nodiscard]] double reserve() const;

    double data_centre_share_;
    double data_centre_rate_;
    double data_centre_hosts_;
    /// What all hosts of the data centre together may still use.
    double data_centre_tokens_;
    double share_tokens_;
    /// The fill level that was received; empty before the first.
    std::optional<double> level_;
    double own_admitted_ = 0;
    double data_centre_admitted_ = 0;
    kernel::time_point updated_;
};

} // namespace wisterialane::proxy
