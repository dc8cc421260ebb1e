#include "libraries/proxy/customer_quota.h"

#include <algorithm>

namespace wisterialane::proxy {
namespace {

using seconds = std::chrono::duration<double>;

/// A process that starts does not know what other hosts have admitted recently, so its buckets start partly filled.
constexpr double initial_fill_level = 0.33;
/// With more tokens than this fraction of the burst a customer is far below its rate.
constexpr double share_fill_level = 0.5;
/// Admissions of other hosts can make the tokens negative, down to this many bursts.
constexpr double maximum_debt_bursts = 2;
/// This many unreported admissions are reported at once when the bucket is below `share_fill_level`.
constexpr std::uint64_t urgent_admissions = 3;
constexpr kernel::duration minimum_retry_delay = std::chrono::milliseconds{100};
constexpr std::chrono::hours maximum_retry_delay{1};
constexpr double minimum_share_burst = 1.5;
/// Fraction of the tolerated excess that the shares use; the rest covers delayed reports.
constexpr double used_excess = 0.75;
/// Fraction of the tolerated excess that may be used at a start; the rest covers what was used above the rate and burst
/// before it, and delayed reports.
constexpr double start_excess_fraction = 0.5;

} // namespace

void customer_quota::configure(const std::vector<traffic_customer>& customers, kernel::time_point now)
{
    std::map<kernel::customer_name, token_bucket> next;
    for (const auto& customer : customers) {
        if (customer.rate_per_second <= 0) {
            continue;
        }
        const auto known = buckets_.find(customer.name);
        token_bucket bucket;
        if (known != buckets_.end()) {
            refill(known->second, now);
            bucket = known->second;
        }
        else {
            const bool starting = is_starting(now);
            bucket.tokens =
                starting ? start_excess(customer.rate_per_second, customer.burst) : initial_fill_level * customer.burst;
            bucket.share_tokens = starting ? 0 : initial_fill_level * customer.burst * share();
        }
        bucket.rate = customer.rate_per_second;
        bucket.burst = std::max(1.0, customer.burst);
        if (known == buckets_.end()) {
            begin_allowance(bucket, now);
        }
        bucket.tokens = std::min(bucket.tokens, maximum_tokens(bucket));
        bucket.updated = now;
        next.emplace(customer.name, bucket);
    }
    buckets_ = std::move(next);
}

double customer_quota::start_excess(double rate, double burst) const
{
    return start_excess_fraction * bound_.tolerated_excess(rate, burst);
}

void customer_quota::begin_allowance(token_bucket& bucket, kernel::time_point now) const
{
    if (is_starting(now) && start_fleet_ && !received_levels_) {
        bucket.start.emplace(bucket.rate, start_excess(bucket.rate, bucket.burst), *start_fleet_, now);
    }
}

void customer_quota::set_start_fleet(const start_fleet& fleet, kernel::time_point now)
{
    if (start_fleet_ || !is_starting(now)) {
        return;
    }
    start_fleet_ = fleet;
    start_end_ = now + bound_.window;
    for (auto& [customer, bucket] : buckets_) {
        begin_allowance(bucket, now);
    }
}

void customer_quota::set_active_host_count(std::size_t hosts, bool all_report)
{
    active_hosts_ = std::max<std::size_t>(1, hosts);
    all_hosts_report_ = all_report;
}

double customer_quota::share_burst(const token_bucket& bucket) const
{
    return std::max(minimum_share_burst, (bucket.burst + used_excess * bound_.slack) * share());
}

double customer_quota::maximum_tokens(const token_bucket& bucket) const
{
    return bucket.start ? std::max(bucket.burst, start_excess(bucket.rate, bucket.burst)) : bucket.burst;
}

void customer_quota::refill(token_bucket& bucket, kernel::time_point now) const
{
    const auto elapsed = std::max(0.0, seconds{now - bucket.updated}.count());
    if (bucket.start && !is_starting(now)) {
        bucket.start.reset();
    }
    if (bucket.start) {
        bucket.start->refill(now);
    }
    bucket.tokens = std::min(maximum_tokens(bucket), bucket.tokens + elapsed * bucket.rate);
    bucket.share_tokens = std::min(share_burst(bucket), bucket.share_tokens + elapsed * bucket.rate * share());
    bucket.updated = std::max(bucket.updated, now);
}

std::optional<seconds> customer_quota::check_start(const token_bucket& bucket) const
{
    const bool far_below_rate = knowledge_.hears_all && bucket.tokens >= share_fill_level * bucket.burst;
    if (bucket.tokens >= 1 && (far_below_rate || bucket.start->can_admit(knowledge_.hears_data_centre))) {
        return std::nullopt;
    }
    return std::max(seconds{(1 - bucket.tokens) / bucket.rate}, bucket.start->wait());
}

std::optional<seconds> customer_quota::check(const token_bucket& bucket, kernel::time_point now) const
{
    if (awaits_fleet(now)) {
        return seconds{0};
    }
    if (bucket.start) {
        return check_start(bucket);
    }
    const bool share_applies = !all_hosts_report_ || bucket.tokens < share_fill_level * bucket.burst;
    if (bucket.tokens >= 1 && (!share_applies || bucket.share_tokens >= 1)) {
        return std::nullopt;
    }
    return seconds{std::max(1 - bucket.tokens, (1 - bucket.share_tokens) / share()) / bucket.rate};
}

std::optional<kernel::duration> customer_quota::admit(const kernel::customer_name& customer, kernel::time_point now)
{
    const auto found = buckets_.find(customer);
    if (found == buckets_.end()) {
        return std::nullopt;
    }
    auto& bucket = found->second;
    refill(bucket, now);
    if (const auto refused_for = check(bucket, now)) {
        const auto wait = std::min<seconds>(*refused_for, maximum_retry_delay);
        return std::max(minimum_retry_delay, std::chrono::duration_cast<kernel::duration>(wait));
    }
    bucket.tokens -= 1;
    bucket.share_tokens = std::max(0.0, bucket.share_tokens - 1);
    if (bucket.start) {
        bucket.start->record_own_admission();
    }
    ++bucket.unreported;
    ++admitted_[customer];
    return std::nullopt;
}

void customer_quota::record_remote_admissions(const kernel::customer_name& customer, std::uint64_t requests,
                                              kernel::time_point now, bool same_data_centre)
{
    const auto found = buckets_.find(customer);
    if (found == buckets_.end()) {
        return;
    }
    auto& bucket = found->second;
    refill(bucket, now);
    if (bucket.start && same_data_centre) {
        bucket.start->record_neighbour_admissions(requests);
    }
    bucket.tokens = std::max(-maximum_debt_bursts * bucket.burst, bucket.tokens - static_cast<double>(requests));
}

quota_levels customer_quota::levels(kernel::time_point now) const
{
    quota_levels result;
    for (const auto& [customer, stored] : buckets_) {
        auto bucket = stored;
        refill(bucket, now);
        if (bucket.tokens < bucket.burst) {
            result[customer] = std::max(0.0, bucket.tokens / bucket.burst);
        }
    }
    return result;
}

void customer_quota::apply_remote_levels(const quota_levels& levels, kernel::time_point now)
{
    for (auto& [customer, bucket] : buckets_) {
        const auto known = levels.find(customer);
        const double level = known == levels.end() ? 1 : known->second;
        refill(bucket, now);
        if (bucket.start) {
            bucket.start->apply_level(level, bucket.burst);
        }
        const double tokens = level * bucket.burst;
        const double share_tokens = level * share_burst(bucket);
        bucket.tokens = received_levels_ ? std::min(bucket.tokens, tokens) : tokens;
        bucket.share_tokens = received_levels_ ? std::min(bucket.share_tokens, share_tokens) : share_tokens;
    }
    received_levels_ = true;
}

bool customer_quota::report_is_urgent(kernel::time_point now) const
{
    return std::any_of(buckets_.begin(), buckets_.end(), [&](const auto& entry) {
        auto bucket = entry.second;
        refill(bucket, now);
        if (bucket.start && bucket.start->is_low()) {
            return bucket.unreported > 0;
        }
        return bucket.unreported >= urgent_admissions && bucket.tokens < share_fill_level * bucket.burst;
    });
}

void customer_quota::mark_reported()
{
    for (auto& [customer, bucket] : buckets_) {
        bucket.unreported = 0;
    }
}

} // namespace wisterialane::proxy
