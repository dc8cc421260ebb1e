#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

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
/// host can tell: a standby host does not see the other requests of the upstream. A good answer is reported if it is
/// unexpected: the upstream was not trusted when the request was sent, or another host got none. It then serves all
/// hosts.
[[nodiscard]] bool should_share_evidence(exchange_outcome outcome, bool unexpected, bool is_active_host);

/// A suspected upstream gets no requests for at least this time.
inline constexpr kernel::duration minimum_ejection_time = std::chrono::milliseconds{1500};
/// Time from the ejection until a repeatable request may be the trial: if it fails, its caller is served by another
/// upstream.
inline constexpr kernel::duration repeatable_trial_delay = std::chrono::milliseconds{3000};
/// Time from the ejection until any request may be the trial. An upstream that has recovered must not go without a
/// request for long, so this time does not grow with the number of failed trials.
inline constexpr kernel::duration trial_delay = std::chrono::milliseconds{4000};

/// Time for which a host sends no requests to an upstream that it could not connect to.
inline constexpr kernel::duration unreachable_time = std::chrono::milliseconds{3000};

/// Circuit breaker of one upstream, with the evidence of this host and of the others.
///
/// Each failure raises the suspicion by the weight of its kind, each good answer lowers it, and it decays with time.
/// Above a threshold the upstream is suspected for a fixed time. After it, the upstream is on trial and receives one
/// request at a time until one succeeds.
///
/// Failed connections and timeouts may be due to the path from one host, which the other hosts do not use. An upstream
/// that this host cannot connect to is suspected here only. Reports of other hosts, of one timeout or of two hosts that
/// cannot connect, count until any host reports a good answer, and not at all after a recent one.
class upstream_health {
public:
    /// Records the outcome of an exchange of this host.
    void record(exchange_outcome outcome, kernel::time_point now);

    /// Records an outcome that another host reports.
    void record_report(const kernel::host_name& from, exchange_outcome outcome, kernel::time_point now);

    [[nodiscard]] trust state(kernel::time_point now) const;

    /// Whether another host has reported since the last good answer of any host that it got none.
    [[nodiscard]] bool is_disputed(kernel::time_point now) const;

    /// Whether its last connection failed; ends with its next response to this host.
    [[nodiscard]] bool is_unreachable() const { return unreachable_since_.has_value(); }

    /// Whether it is suspected or on trial for its answers, whether or not it can be reached.
    [[nodiscard]] bool is_ejected() const { return suspected_; }

    /// Start of the current ejection; meaningless while the upstream is trusted.
    [[nodiscard]] kernel::time_point suspected_since() const { return suspected_since_; }

    /// Number of ejections so far.
    [[nodiscard]] std::size_t ejections() const { return ejections_; }

    /// Other hosts that have reported recently that they could not connect.
    [[nodiscard]] std::vector<kernel::host_name> unreachable_hosts(kernel::time_point now) const;

    [[nodiscard]] double suspicion(kernel::time_point now) const;

private:
    void record_answers(exchange_outcome outcome, kernel::time_point now);
    void record_good_answer(kernel::time_point now);
    void record_unreachable_report(const kernel::host_name& from, kernel::time_point now);
    void eject(kernel::time_point now);
    [[nodiscard]] bool has_recent_good_answer(kernel::time_point now) const;

    double suspicion_ = 0;
    kernel::time_point updated_{};
    bool suspected_ = false;
    kernel::time_point suspected_since_{};
    std::size_t ejections_ = 0;
    std::optional<kernel::time_point> unreachable_since_;
    /// `unreachable_since_` is due to reports of other hosts.
    bool unreachable_by_reports_ = false;
    /// When other hosts last reported that they could not connect.
    std::map<kernel::host_name, kernel::time_point> unreachable_reports_;
    /// When another host last reported that it could not connect or got no answer.
    std::optional<kernel::time_point> disputed_at_;
    /// The ejection is due to a timeout on another host.
    bool suspected_by_report_ = false;
    /// Time of the last good answer that this host received or another one reported.
    std::optional<kernel::time_point> last_good_at_;
};

} // namespace wisterialane::proxy
