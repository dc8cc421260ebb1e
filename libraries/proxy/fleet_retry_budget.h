#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"

#include <cstddef>
#include <unordered_map>

namespace wisterialane::proxy {

/// Limits of the retries that all hosts together may send to a service.
struct retry_allowance {
    /// Retries per request of the window.
    double ratio = 0.2;
    /// Further retries per window, for all hosts together.
    double slack = 50;
};

/// This host's share of the retry budget of each service: a token bucket.
///
/// Each request adds `ratio` tokens, each retry takes one, and the bucket holds at most this host's share of the slack.
/// In any span of time, retries are then at most `ratio` times the requests of that span and the tokens held at its
/// start. As the buckets of all hosts together hold at most the slack, the fleet keeps the bound in every window,
/// whatever happens to the number of requests. A process starts with enough to send its first request again and no
/// more, because the previous process may have used its tokens in the same window.
class fleet_retry_budget {
public:
    void configure(retry_allowance allowance) { allowance_ = allowance; }

    [[nodiscard]] const retry_allowance& allowance() const { return allowance_; }

    /// Sets this host's fraction of the slack, 0 to 1.
    void set_slack_fraction(double fraction) { slack_fraction_ = fraction; }

    /// Records a request for this service when it is first sent to an upstream.
    void record_request(const kernel::service_name& service, kernel::time_point now);

    /// Takes one retry from the budget. Returns false if the budget is used up, or if less than the fraction `reserve`
    /// of the bucket would remain; a full bucket always allows a retry.
    [[nodiscard]] bool try_consume(const kernel::service_name& service, kernel::time_point now, double reserve = 0);

    /// Returns a retry that was taken just now and can't be sent yet.
    void give_back(const kernel::service_name& service);

private:
    [[nodiscard]] double bucket_size() const;
    [[nodiscard]] double& tokens_of(const kernel::service_name& service);

    retry_allowance allowance_;
    double slack_fraction_ = 0;
    /// Tokens of each service.
    std::unordered_map<kernel::service_name, double> tokens_;
};

/// A host's position in the fleet, which determines its fraction of the slack.
struct fleet_position {
    /// Whether this host's address is given to callers.
    bool active = false;
    std::size_t active_hosts = 1;
    std::size_t standby_hosts = 0;
    /// Time since the start of the process, which knows nothing of the retries of the previous process.
    kernel::duration uptime{};
    /// Place of this host among all hosts, active or not, in the order of their names.
    std::size_t index = 0;
    /// Slack of the fleet, to be divided in whole retries; 0 if fractions of a retry are of use.
    double slack = 0;
};

/// The fraction of the slack, 0 to 1, that a host at this position may use.
[[nodiscard]] double slack_fraction(const fleet_position& position);

} // namespace wisterialane::proxy
