#include "services/limit_versions.h"

#include <bit>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace wisterialane::services {
namespace {

/// Spreads equal bits of the parts over the whole digest (the finalizer of MurmurHash3).
std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 33U)) * 0xff51afd7ed558ccdULL;
    value = (value ^ (value >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

std::uint64_t digest_of(const kernel::customer_name& customer, const limits::capacity& limit)
{
    const auto name = static_cast<std::uint64_t>(std::hash<std::string>{}(customer.value()));
    return mixed(mixed(mixed(name) + std::bit_cast<std::uint64_t>(limit.rate_per_second)) +
                 std::bit_cast<std::uint64_t>(limit.burst));
}

limits::home_selector make_selector(const configuration::roster& hosts)
{
    std::vector<kernel::instance_id> instances;
    instances.reserve(hosts.entries.size());
    for (const auto& host : hosts.entries) {
        instances.push_back(host.instance);
    }
    return limits::home_selector{instances};
}

} // namespace

std::optional<limits::capacity> find_limit(const configuration::configuration_set& set,
                                           const kernel::customer_name& customer)
{
    const auto* owner = set.find_customer(customer);
    const auto* limit = owner == nullptr ? nullptr : set.find_limit(owner->limit);
    if (limit == nullptr) {
        return std::nullopt;
    }
    return limits::capacity{limit->rate_per_second, limit->burst};
}

void limit_versions::observe(const configuration::configuration_set& set)
{
    const auto known = !entries_.empty();
    const kernel::version_number following{newest().value() + 1};
    entry next{set.version(), nullptr, std::make_shared<const digests>(digest_limits(set))};
    if (known && following == set.version()) {
        const auto& last = entries_.back();
        if (*last.limits == *next.limits) {
            next.limits = last.limits;
        }
        if (hosts_ == set.hosts()) {
            next.selector = last.selector;
        }
    }
    else if (known) {
        entries_.push_back({following, nullptr, nullptr});
    }
    if (!next.selector) {
        next.selector = std::make_shared<const limits::home_selector>(make_selector(set.hosts()));
        hosts_ = set.hosts();
    }
    entries_.push_back(std::move(next));
}

void limit_versions::forget_before(kernel::version_number version)
{
    while (entries_.size() > 1 && entries_[1].version.value() <= version.value()) {
        entries_.pop_front();
    }
}

void limit_versions::apply_newest(const kernel::customer_name& customer, const limits::capacity& limit,
                                  limits::customer_limiter& limiter, kernel::time_point now) const
{
    if (entries_.size() > 1 && !entries_[entries_.size() - 2].selector) {
        apply(entries_[entries_.size() - 2], customer, limit, limiter, now);
    }
    apply(entries_.back(), customer, limit, limiter, now);
}

void limit_versions::apply_all(const kernel::customer_name& customer, const limits::capacity& limit,
                               limits::customer_limiter& limiter, kernel::time_point now) const
{
    const entry* previous = nullptr;
    for (const auto& item : entries_) {
        const auto same = previous != nullptr && previous->selector == item.selector && previous->limits == item.limits;
        if (!same) {
            apply(item, customer, limit, limiter, now);
        }
        previous = &item;
    }
}

kernel::version_number limit_versions::newest() const
{
    return entries_.empty() ? kernel::version_number{} : entries_.back().version;
}

std::vector<kernel::instance_id> limit_versions::homes(const kernel::customer_name& customer,
                                                       const limits::capacity& limit) const
{
    return entries_.empty() ? std::vector<kernel::instance_id>{}
                            : entries_.back().selector->homes(customer, limit.burst);
}

std::size_t limit_versions::group_of(const kernel::customer_name& customer)
{
    return mixed(std::hash<std::string>{}(customer.value())) % group_count;
}

limit_versions::digests limit_versions::digest_limits(const configuration::configuration_set& set)
{
    digests sums{};
    for (const auto& reference : set.list()) {
        if (reference.kind == configuration::object_kind::customer) {
            const kernel::customer_name customer{reference.name};
            sums[group_of(customer)] += digest_of(customer, find_limit(set, customer).value_or(limits::capacity{}));
        }
    }
    return sums;
}

void limit_versions::apply(const entry& item, const kernel::customer_name& customer, const limits::capacity& limit,
                           limits::customer_limiter& limiter, kernel::time_point now) const
{
    const auto group = group_of(customer);
    const auto same_limit = item.limits && (*item.limits)[group] == (*entries_.back().limits)[group];
    if (!same_limit) {
        limiter.apply_version(item.version, {}, {}, now);
        return;
    }
    limiter.apply_version(item.version, limit, item.selector->homes(customer, limit.burst), now);
}

} // namespace wisterialane::services
