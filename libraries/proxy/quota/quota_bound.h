#pragma once

#include <chrono>

namespace wisterialane::proxy {

/// What operators check: in any `window`, all hosts together pass on at most
/// (rate x window + burst) x (1 + overage) + slack requests of a customer.
struct quota_bound {
    std::chrono::milliseconds window{5000};
    double overage = 0;
    /// In requests.
    double slack = 0;

    /// The requests above rate and burst that the bound tolerates in a window.
    [[nodiscard]] double tolerated_excess(double rate, double burst) const
    {
        const std::chrono::duration<double> length = window;
        return overage * (rate * length.count() + burst) + slack;
    }
};

} // namespace wisterialane::proxy
