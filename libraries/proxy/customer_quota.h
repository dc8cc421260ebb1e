#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/quota/quota_bound.h"
#include "libraries/proxy/quota/start_allowance.h"
#include "libraries/proxy/quota/start_fleet.h"
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

/// What a starting process knows of the other hosts.
struct start_knowledge {
    /// Whether messages of most hosts of the data centre arrive.
    bool hears_data_centre = false;
    /// Whether the reports of all hosts arrive: an active host that has discovered the others.
    bool hears_all = false;
};

/// Limits each customer to its rate and burst over all hosts, without a request to another host.
///
/// Each host has a token bucket with the customer's whole rate and burst. It removes a token for each request that it
/// admits, and for each request that another host admits when that host's report arrives. A customer whose bucket is
/// more than half full is far below its rate, and the host admits from the bucket alone. Below that the host also
/// limits the customer to an even share of the rate and burst, so that several hosts do not use the same tokens before
/// they receive each other's reports. Callers are never spread evenly over the hosts, so the shares together include
/// most of the tolerated excess.
///
/// A process that starts while others may have admitted requests uses a `start_allowance` in its first window. Until
/// the hosts among which that is divided are known, nothing is admitted. Fill levels from a host that was not killed
/// replace the excess of the allowance.
class customer_quota {
public:
    /// Applies the rates and bursts of a new configuration version. Known customers keep their tokens.
    void configure(const std::vector<traffic_customer>& customers, kernel::time_point now);

    /// Sets the number of active hosts, including this one. While `all_report` is false, reports of some of them may be
    /// missing, and the even share limits every admission.
    void set_active_host_count(std::size_t hosts, bool all_report);

    /// Sets how many requests a customer may get above its rate and burst in the window that operators check.
    void set_bound(const quota_bound& bound) { bound_ = bound; }

    /// Begins the first window after a start that is not a bootstrap. Called before the first configuration.
    void begin_start(kernel::time_point now) { start_end_ = now + maximum_start_windows * bound_.window; }

    /// Sets the hosts that the store's rows name; the first window ends one window later. Only the first call has an
    /// effect.
    void set_start_fleet(const start_fleet& fleet, kernel::time_point now);

    void set_start_knowledge(const start_knowledge& knowledge) { knowledge_ = knowledge; }

    /// Whether this is the first window after a start that is not a bootstrap.
    [[nodiscard]] bool is_starting(kernel::time_point now) const { return start_end_ && now < *start_end_; }

    [[nodiscard]] bool is_limited(const kernel::customer_name& customer) const { return buckets_.contains(customer); }

    /// Whether requests of limited customers are refused because neither the store's rows nor fill levels are known
    /// yet.
    [[nodiscard]] bool awaits_fleet(kernel::time_point now) const
    {
        return is_starting(now) && !start_fleet_ && !received_levels_;
    }

    /// Admits a request and returns nothing, or refuses it and returns the time after which to retry.
    [[nodiscard]] std::optional<kernel::duration> admit(const kernel::customer_name& customer, kernel::time_point now);

    /// Removes the tokens for `requests` that another host has admitted since its previous report.
    /// `same_data_centre`: whether that host is in this data centre.
    void record_remote_admissions(const kernel::customer_name& customer, std::uint64_t requests, kernel::time_point now,
                                  bool same_data_centre = true);

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
    /// Without the store's rows the first window ends after this many windows, because hosts that know no others cannot
    /// keep a common limit anyway, and customers are refused until then.
    static constexpr int maximum_start_windows = 3;

    struct token_bucket {
        double rate = 0;
        double burst = 0;
        double tokens = 0;
        double share_tokens = 0;
        std::uint64_t unreported = 0;
        kernel::time_point updated{};
        /// Set in the first window after a start.
        std::optional<start_allowance> start;
    };

    [[nodiscard]] double start_excess(double rate, double burst) const;
    void begin_allowance(token_bucket& bucket, kernel::time_point now) const;
    /// Returns the time after which to retry if the limits of the first window refuse a request.
    [[nodiscard]] std::optional<std::chrono::duration<double>> check_start(const token_bucket& bucket) const;
    [[nodiscard]] std::optional<std::chrono::duration<double>> check(const token_bucket& bucket,
                                                                     kernel::time_point now) const;
    [[nodiscard]] double maximum_tokens(const token_bucket& bucket) const;
    void refill(token_bucket& bucket, kernel::time_point now) const;
    [[nodiscard]] double share_burst(const token_bucket& bucket) const;

    [[nodiscard]] double share() const { return 1.0 / static_cast<double>(active_hosts_); }

    std::map<kernel::customer_name, token_bucket> buckets_;
    admitted_counts admitted_;
    quota_bound bound_;
    std::optional<kernel::time_point> start_end_;
    std::optional<start_fleet> start_fleet_;
    start_knowledge knowledge_;
    std::size_t active_hosts_ = 1;
    bool all_hosts_report_ = false;
    bool received_levels_ = false;
};

} // namespace wisterialane::proxy
