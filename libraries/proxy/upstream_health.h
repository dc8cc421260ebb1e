#pragma once

#include "kernel/clock.h"

#include <string_view>

namespace wisterialane::proxy {

/// How an exchange with an upstream ended, as evidence on its health.
enum class exchange_outcome {
    good,
    /// A complete answer that reports an error of the upstream.
    error,
    /// The upstream refused the request without running it.
    shed,
    connect_failed,
    /// Closed, reset or answered with bytes that are no answer to the request.
    broken,
    /// No answer in time.
    timed_out,
    /// Ended by the caller or for reasons of this host; no evidence.
    neutral,
};

[[nodiscard]] std::string_view to_name(exchange_outcome outcome);

/// Whether the other hosts should hear of an outcome. Silence may be the wait for a slot, which only the hosts that
/// callers are sent to can tell: those that stand by do not see the other requests of the upstream.
[[nodiscard]] bool should_share_evidence(exchange_outcome outcome, bool callers_are_sent_here);

enum class trust { trusted, trial, suspected };

[[nodiscard]] std::string_view to_name(trust state);

/// A suspected upstream gets no work for this time at least.
inline constexpr kernel::duration minimum_ejection_time = std::chrono::milliseconds{1500};

/// Evidence on one upstream, own and of other hosts.
///
/// Suspicion rises with each failure by the weight of its kind, falls with each good answer and fades with time.
/// Above a threshold the upstream is suspected for a while that doubles each time; after it one request at a time is
/// sent on trial until one ends well.
class upstream_health {
public:
    void record(exchange_outcome outcome, kernel::time_point now);

    [[nodiscard]] trust state(kernel::time_point now) const;

    /// When the present suspicion began; meaningless while the upstream is trusted.
    [[nodiscard]] kernel::time_point suspected_since() const { return suspected_until_ - ban_; }

    [[nodiscard]] double suspicion(kernel::time_point now) const;

private:
    void suspect(kernel::time_point now);

    double suspicion_ = 0;
    kernel::time_point updated_{};
    bool suspected_ = false;
    kernel::time_point suspected_until_{};
    kernel::duration ban_{};
};

} // namespace wisterialane::proxy
