#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/traffic_configuration.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace wisterialane::proxy {

/// Number of requests that a process has admitted for each customer since its start.
using admitted_counts = std::map<kernel::customer_name, std::uint64_t>;

/// Fill level of each customer's token bucket, as a fraction of the burst from 0 to 1; full buckets are omitted.
using quota_levels = std::map<kernel::customer_name, double>;

/// Limits each customer to its rate and burst over all hosts, without a request to another host.
///
/// Each host has a token bucket with the customer's whole rate and burst. It removes a token for each request that it
/// admits, and for each request that another host admits when that host's report arrives. A customer whose bucket is
/// more than half full is far below its rate, and the host admits from the bucket alone. Below that the host also
/// limits the customer to an even share of the rate and burst, so that several hosts do not use the same tokens before
/// they receive each other's reports. Callers are never spread evenly over the hosts, so the shares together include
/// most of the tolerated excess.
class customer_quota {
public:
    /// Applies the rates and bursts of a new configuration version. Known customers keep their tokens.
    void configure(const std::vector<traffic_customer>& customers, kernel::time_point now);

    /// Sets the number of active hosts, including this one. While `all_report` is false, reports of some of them may be
    /// missing, and the even share limits every admission.
    void set_active_host_count(std::size_t hosts, bool all_report);

    /// Sets how many requests a customer may get above its rate and burst in the window that operators check.
    void set_tolerated_excess(double requests) { tolerated_excess_ = requests; }

    /// Admits a request and returns nothing, or refuses it and returns the time after which to retry.
    [[nodiscard]] std::optional<kernel::duration> admit(const kernel::customer_name& customer, kernel::time_point now);

    /// Removes the tokens for `requests` that another host has admitted since its previous report.
    void record_remote_admissions(const kernel::customer_name& customer, std::uint64_t requests,
                                  kernel::time_point now);

    /// The fill levels of all buckets, for a host that has just started.
    [[nodiscard]] quota_levels levels(kernel::time_point now) const;

    /// Sets the buckets to the fill levels that another host sent, because a process that starts does not know the
    /// admissions before its start. If several hosts send levels, the lowest one of each customer applies.
    void apply_remote_levels(const quota_levels& levels, kernel::time_point now);

    /// The requests that this host has admitted since its start.
    [[nodiscard]] const admitted_counts& admitted() const { return admitted_; }

    /// Whether a customer is near its limit and this host has admitted several requests of it without a report.
    [[nodiscard]] bool report_is_urgent(kernel::time_point now) const;

    /// Records that the current counts have been sent to the other hosts.
    void mark_reported();

private:
    struct token_bucket {
        double rate = 0;
        double burst = 0;
        double tokens = 0;
        double share_tokens = 0;
        std::uint64_t unreported = 0;
        kernel::time_point updated{};
    };

    void refill(token_bucket& bucket, kernel::time_point now) const;
    [[nodiscard]] double share_burst(const token_bucket& bucket) const;

    [[nodiscard]] double share() const { return 1.0 / static_cast<double>(active_hosts_); }

    std::map<kernel::customer_name, token_bucket> buckets_;
    admitted_counts admitted_;
    double tolerated_excess_ = 0;
    std::size_t active_hosts_ = 1;
    bool all_hosts_report_ = false;
    bool received_levels_ = false;
};

} // namespace wisterialane::proxy
