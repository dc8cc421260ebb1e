#pragma once

#include "kernel/clock.h"
#include "libraries/limits/loan.h"

namespace wisterialane::limits {

/// Estimates what a host wants of a customer's limit from the requests that arrive, admitted or not.
class demand_estimate {
public:
    explicit demand_estimate(kernel::time_point now) : counted_{now} {}

    void count_arrival(kernel::time_point now);

    /// A request found no token. The demand is raised for a short time, so that a loan can yield a token while the
    /// request waits.
    void count_shortage(kernel::time_point now) { short_until_ = now + shortage_duration; }

    /// The wanted capacity, at most the customer's limit; nothing if no request has come for ten seconds.
    [[nodiscard]] capacity wanted(const capacity& limit, kernel::time_point now) const;

    [[nodiscard]] bool is_short(kernel::time_point now) const { return now < short_until_; }

    [[nodiscard]] kernel::time_point last_arrival() const { return counted_; }

private:
    static constexpr std::chrono::milliseconds shortage_duration{500};

    /// Requests a second, as exponential averages over a short and a long time. The larger one counts, so that demand
    /// is seen soon and a pause does not give it up at once.
    double short_average_ = 0;
    double long_average_ = 0;
    kernel::time_point counted_;
    kernel::time_point short_until_{};
};

} // namespace wisterialane::limits
