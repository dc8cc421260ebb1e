#pragma once

#include "kernel/clock.h"

#include <cstddef>
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

/// State of a circuit breaker: closed, half open, open.
enum class trust { trusted, trial, suspected };

[[nodiscard]] std::string_view to_name(trust state);

/// Whether this host reports an outcome to the other hosts. A timeout may be the wait for a slot, which only an active
/// host can tell: a standby host does not see the other requests of the upstream. A good answer is reported if the
/// upstream was not trusted when the request was sent: one trial then serves all hosts.
[[nodiscard]] bool should_share_evidence(exchange_outcome outcome, trust trust_at_start, bool is_active_host);

/// A suspected upstream gets no requests for at least this time.
inline constexpr kernel::duration minimum_ejection_time = std::chrono::milliseconds{1500};
/// Time from the ejection until a repeatable request may be the trial: if it fails, its caller is served by another
/// upstream.
inline constexpr kernel::duration repeatable_trial_delay = std::chrono::milliseconds{3000};
/// Time from the ejection until any request may be the trial. An upstream that has recovered must not go without a
/// request for long, so this time does not grow with the number of failed trials.
inline constexpr kernel::duration trial_delay = std::chrono::milliseconds{4000};

/// Circuit breaker of one upstream, with the evidence of this host and of the others.
///
/// Each failure raises the suspicion by the weight of its kind, each good answer lowers it, and it decays with time.
/// Above a threshold the upstream is suspected for a fixed time. After it, the upstream is on trial and receives one
/// request at a time until one succeeds.
class upstream_health {
public:
    void record(exchange_outcome outcome, kernel::time_point now);

    [[nodiscard]] trust state(kernel::time_point now) const;

    /// Start of the current ejection; meaningless while the upstream is trusted.
    [[nodiscard]] kernel::time_point suspected_since() const { return suspected_since_; }

    /// Number of ejections so far.
    [[nodiscard]] std::size_t ejections() const { return ejections_; }

    [[nodiscard]] double suspicion(kernel::time_point now) const;

private:
    void eject(kernel::time_point now);

    double suspicion_ = 0;
    kernel::time_point updated_{};
    bool suspected_ = false;
    kernel::time_point suspected_since_{};
    std::size_t ejections_ = 0;
};

} // namespace wisterialane::proxy
