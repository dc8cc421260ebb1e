#include "libraries/proxy/customer_quota.h"

#include <algorithm>

namespace wisterialane::proxy {
namespace {

using seconds = std::chrono::duration<double>;

/// A process that starts does not know what others have admitted just before.
constexpr double initial_fill = 0.33;
/// Above this part of the burst a customer is far below its rate.
constexpr double plenty = 0.5;
/// Debt of other hosts' admissions is kept up to this many bursts.
constexpr double maximum_debt = 2;
/// Admissions that others should hear of at once when tokens are short.
constexpr std::uint64_t urgent_admissions = 3;
constexpr kernel::duration minimum_wait = std::chrono::milliseconds{100};
constexpr double minimum_own_burst = 1.5;
/// Part of the tolerated requests that the shares use; the rest covers messages that are late.
constexpr double used_tolerance = 0.75;

} // namespace

void customer_quota::configure(const std::vector<traffic_customer>& customers, kernel::time_point now)
{
    std::map<kernel::customer_name, bucket> next;
    for (const auto& customer : customers) {
        if (customer.rate_per_second <= 0) {
            continue;
        }
        const auto known = buckets_.find(customer.name);
        bucket item;
        if (known != buckets_.end()) {
            refill(known->second, now);
            item = known->second;
        }
        else {
            item.tokens = initial_fill * customer.burst;
            item.own_tokens = initial_fill * customer.burst * share();
        }
        item.rate = customer.rate_per_second;
        item.burst = std::max(1.0, customer.burst);
        item.tokens = std::min(item.tokens, item.burst);
        item.updated = now;
        next.emplace(customer.name, item);
    }
    buckets_ = std::move(next);
}

void customer_quota::set_active_host_count(std::size_t hosts, bool certain)
{
    hosts_ = std::max<std::size_t>(1, hosts);
    certain_ = certain;
}

double customer_quota::own_burst(const bucket& item) const
{
    return std::max(minimum_own_burst, (item.burst + used_tolerance * tolerated_) * share());
}

void customer_quota::refill(bucket& item, kernel::time_point now) const
{
    const auto elapsed = std::max(0.0, seconds{now - item.updated}.count());
    item.tokens = std::min(item.burst, item.tokens + elapsed * item.rate);
    item.own_tokens = std::min(own_burst(item), item.own_tokens + elapsed * item.rate * share());
    item.updated = std::max(item.updated, now);
}

std::optional<kernel::duration> customer_quota::admit(const kernel::customer_name& customer, kernel::time_point now)
{
    const auto found = buckets_.find(customer);
    if (found == buckets_.end()) {
        return std::nullopt;
    }
    auto& item = found->second;
    refill(item, now);
    const bool share_binds = !certain_ || item.tokens < plenty * item.burst;
    const bool short_of_tokens = item.tokens < 1 || (share_binds && item.own_tokens < 1);
    if (short_of_tokens) {
        const double missing = std::max(1 - item.tokens, (1 - item.own_tokens) / share());
        const auto wait = std::chrono::duration_cast<kernel::duration>(seconds{missing / item.rate});
        return std::max(minimum_wait, wait);
    }
    item.tokens -= 1;
    item.own_tokens = std::max(0.0, item.own_tokens - 1);
    ++item.unreported;
    ++admitted_[customer];
    return std::nullopt;
}

void customer_quota::record_remote_admissions(const kernel::customer_name& customer, std::uint64_t requests,
                                              kernel::time_point now)
{
    const auto found = buckets_.find(customer);
    if (found == buckets_.end()) {
        return;
    }
    auto& item = found->second;
    refill(item, now);
    item.tokens = std::max(-maximum_debt * item.burst, item.tokens - static_cast<double>(requests));
}

quota_levels customer_quota::levels(kernel::time_point now) const
{
    quota_levels result;
    for (const auto& [customer, known] : buckets_) {
        auto item = known;
        refill(item, now);
        if (item.tokens < item.burst) {
            result[customer] = std::max(0.0, item.tokens / item.burst);
        }
    }
    return result;
}

void customer_quota::apply_remote_levels(const quota_levels& levels, kernel::time_point now)
{
    for (auto& [customer, item] : buckets_) {
        const auto known = levels.find(customer);
        const double level = known == levels.end() ? 1 : known->second;
        refill(item, now);
        const double tokens = level * item.burst;
        const double own_tokens = level * own_burst(item);
        item.tokens = adopted_ ? std::min(item.tokens, tokens) : tokens;
        item.own_tokens = adopted_ ? std::min(item.own_tokens, own_tokens) : own_tokens;
    }
    adopted_ = true;
}

bool customer_quota::report_is_urgent(kernel::time_point now) const
{
    return std::any_of(buckets_.begin(), buckets_.end(), [&](const auto& entry) {
        auto item = entry.second;
        refill(item, now);
        return item.unreported >= urgent_admissions && item.tokens < plenty * item.burst;
    });
}

void customer_quota::mark_reported()
{
    for (auto& [customer, item] : buckets_) {
        item.unreported = 0;
    }
}

} // namespace wisterialane::proxy
