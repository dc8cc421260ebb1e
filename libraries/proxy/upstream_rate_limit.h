#pragma once

#include "kernel/clock.h"
#include "libraries/proxy/active_position.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace wisterialane::proxy {

/// Interval at which the host at this place sends requests to an upstream that takes `per_second` from all hosts
/// together; empty if the host has no share. The first hosts of the order have equal shares: at most `maximum_shares`
/// hosts, and not more than the rate has requests per second and one.
[[nodiscard]] std::optional<std::chrono::duration<double>> share_interval(const active_position& place,
                                                                          double per_second, double maximum_shares);

/// The rate that an upstream in need takes from all hosts together, and this host's share of it.
///
/// The hosts divide the rate without messages: the first hosts of an order that all compute alike, not more than the
/// rate has requests per second, take equal shares, and the others send nothing. With many hosts a share for each would
/// be far less than one request per second, and their first requests together would exceed the rate.
class upstream_rate_limit {
public:
    /// Records the rate that a response names, empty if none. `sent_at` is when its request was sent: a response to an
    /// earlier request does not end a limit. Returns whether the other hosts should be told.
    bool record_response(std::optional<double> per_second, kernel::time_point sent_at, kernel::time_point now);

    /// Records the rate that another host reports, empty if the upstream has ceased to name one.
    void record_report(std::optional<double> per_second, kernel::time_point now);

    /// Whether the upstream limits its rate.
    [[nodiscard]] bool applies(kernel::time_point now) const;

    /// Whether the host at this place may send a request; `last_request_at` is the time of its last one.
    [[nodiscard]] bool allows(const active_position& place, kernel::time_point last_request_at,
                              kernel::time_point now) const;

    /// The current rate in requests per second; empty if there is none.
    [[nodiscard]] std::optional<double> per_second(kernel::time_point now) const;

private:
    std::optional<double> per_second_;
    kernel::time_point named_at_{};
    kernel::time_point reported_at_{};
};

} // namespace wisterialane::proxy
