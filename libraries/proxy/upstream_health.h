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
    /// No answer before the deadline.
    timed_out,
    /// Ended by the caller or for a reason of this host; no evidence.
    neutral,
};

[[nodiscard]] std::string_view to_name(exchange_outcome outcome);

/// Whether this host reports an outcome to the other hosts. A timeout may be the wait for a slot, which only an active
/// host can tell: a standby host does not see the other requests of the upstream.
[[nodiscard]] bool should_share_evidence(exchange_outcome outcome, bool is_active_host);

/// State of a circuit breaker: closed, half open, open.
enum class trust { trusted, trial, suspected };

[[nodiscard]] std::string_view to_name(trust state);

/// A suspected upstream gets no requests for at least this time.
inline constexpr kernel::duration minimum_ejection_time = std::chrono::milliseconds{1500};

/// Circuit breaker of one upstream, with the evidence of this host and of the others.
///
/// Each failure raises the suspicion by the weight of its kind, each good answer lowers it, and it decays with time.
/// Above a threshold the upstream is suspected for an ejection time that doubles each time. After it, the upstream is
/// on trial and receives one request at a time until one succeeds.
class upstream_health {
public:
    void record(exchange_outcome outcome, kernel::time_point now);

    [[nodiscard]] trust state(kernel::time_point now) const;

    /// Start of the current ejection; meaningless while the upstream is trusted.
    [[nodiscard]] kernel::time_point suspected_since() const { return suspected_until_ - ejection_time_; }

    [[nodiscard]] double suspicion(kernel::time_point now) const;

private:
    void eject(kernel::time_point now);

    double suspicion_ = 0;
    kernel::time_point updated_{};
    bool suspected_ = false;
    kernel::time_point suspected_until_{};
    kernel::duration ejection_time_{};
};

} // namespace wisterialane::proxy
