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

/// Requests admitted for each customer since the start of a process.
using admitted_counts = std::map<kernel::customer_name, std::uint64_t>;

/// Part of the burst that is left to each customer, 0 to 1; customers with all of it are left out.
using quota_levels = std::map<kernel::customer_name, double>;

/// Rate and burst of each customer over all hosts.
///
/// Each host keeps a bucket of the customer's whole rate and burst, from which it takes its own admissions at once and
/// those of other hosts as they report them. While the bucket is more than half full no host needs to ask: the
/// customer is far below its rate. Below that a host also keeps to its even share, so that several hosts do not spend
/// the same tokens before they hear of one another. Callers never spread evenly, so the shares together have room for
/// most of the requests that are tolerated.
class customer_quota {
public:
    /// Rates and bursts of a new version. Customers that are known keep their tokens.
    void configure(const std::vector<traffic_customer>& customers, kernel::time_point now);

    /// `hosts` take requests now, this one included. While `certain` is false some of them are not heard, and every
    /// admission keeps to the even share.
    void set_active_host_count(std::size_t hosts, bool certain);

    /// Requests that a customer may get beyond rate and burst in the operators' window.
    void set_tolerated_excess(double requests) { tolerated_ = requests; }

    /// Admits a request, or tells after what time to come again.
    [[nodiscard]] std::optional<kernel::duration> admit(const kernel::customer_name& customer, kernel::time_point now);

    /// Another host has admitted `requests` since its last report.
    void record_remote_admissions(const kernel::customer_name& customer, std::uint64_t requests,
                                  kernel::time_point now);

    /// What is left to the customers, for a host that has just started.
    [[nodiscard]] quota_levels levels(kernel::time_point now) const;

    /// Takes over what another host knows. A process that starts knows nothing of the admissions before it; of several
    /// hosts that tell it the least counts.
    void apply_remote_levels(const quota_levels& levels, kernel::time_point now);

    /// What this host has admitted since its start.
    [[nodiscard]] const admitted_counts& admitted() const { return admitted_; }

    /// Whether some customer is near its limit and has used tokens that others have not heard of.
    [[nodiscard]] bool report_is_urgent(kernel::time_point now) const;

    /// The present counts have been sent to the other hosts.
    void mark_reported();

private:
    struct bucket {
        double rate = 0;
        double burst = 0;
        double tokens = 0;
        double own_tokens = 0;
        std::uint64_t unreported = 0;
        kernel::time_point updated{};
    };

    void refill(bucket& item, kernel::time_point now) const;
    [[nodiscard]] double own_burst(const bucket& item) const;

    [[nodiscard]] double share() const { return 1.0 / static_cast<double>(hosts_); }

    std::map<kernel::customer_name, bucket> buckets_;
    admitted_counts admitted_;
    double tolerated_ = 0;
    std::size_t hosts_ = 1;
    bool certain_ = false;
    bool adopted_ = false;
};

} // namespace wisterialane::proxy
