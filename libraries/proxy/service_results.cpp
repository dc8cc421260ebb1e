#include "libraries/proxy/service_results.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace wisterialane::proxy {
namespace {

/// Age at which a report expires; active hosts report twice a second.
constexpr kernel::duration report_lifetime = std::chrono::milliseconds{2500};
/// Limit of the services in one report.
constexpr std::size_t maximum_reported_services = 32;
/// Unserved fraction of the requests above which a service is strained. All healthy upstreams must receive requests
/// when a tenth is unserved; the threshold is lower because reports arrive late.
constexpr double strained_unserved_fraction = 0.07;

void add(result_counts& sum, const result_counts& counts)
{
    sum.served += counts.served;
    sum.unserved += counts.unserved;
    sum.demand_ms += counts.demand_ms;
    for (const auto& [priority, level] : counts.levels) {
        auto& total = sum.levels[priority];
        total.requests += level.requests;
        total.unserved += level.unserved;
    }
}

void subtract(result_counts& sum, const result_counts& counts)
{
    sum.served -= counts.served;
    sum.unserved -= counts.unserved;
    sum.demand_ms -= counts.demand_ms;
    for (const auto& [priority, level] : counts.levels) {
        auto& total = sum.levels[priority];
        total.requests -= level.requests;
        total.unserved -= level.unserved;
        if (total == level_counts{}) {
            sum.levels.erase(priority);
        }
    }
}

} // namespace

void service_results::record(const kernel::service_name& service, request_result result, kernel::time_point now)
{
    auto& counters = local_counters_[service];
    (result == request_result::served ? counters.served : counters.unserved).add(now);
}

void service_results::record_demand(const kernel::service_name& service, kernel::duration work, kernel::time_point now,
                                    request_priority priority)
{
    const auto work_ms = std::chrono::duration_cast<std::chrono::milliseconds>(work).count();
    auto& counters = local_counters_[service];
    counters.demand_ms.add(now, static_cast<std::uint64_t>(work_ms));
    counters.arrivals[priority].add(now);
}

void service_results::record_unserved(const kernel::service_name& service, request_priority priority,
                                      kernel::time_point now)
{
    local_counters_[service].unserved_by_priority[priority].add(now);
}

priority_place service_results::place_of(const kernel::service_name& service, request_priority priority,
                                         kernel::time_point now) const
{
    const auto found = local_counters_.find(service);
    if (found == local_counters_.end()) {
        return {};
    }
    double more_urgent = 0;
    double equal = 0;
    double all = 0;
    for (const auto& [level, counter] : found->second.arrivals) {
        const auto count = static_cast<double>(counter.count(now, result_window));
        more_urgent += level < priority ? count : 0;
        equal += level == priority ? count : 0;
        all += count;
    }
    return all > 0 ? priority_place{more_urgent / all, equal / all} : priority_place{};
}

void service_results::record_remote(const kernel::host_name& from, service_counts counts, kernel::time_point now)
{
    auto& previous = remote_reports_[from];
    subtract_remote(previous.counts);
    for (const auto& [service, count] : counts) {
        add(remote_totals_[service], count);
    }
    previous = {std::move(counts), now};
}

void service_results::subtract_remote(const service_counts& counts)
{
    for (const auto& [service, count] : counts) {
        subtract(remote_totals_[service], count);
    }
}

void service_results::expire(kernel::time_point now)
{
    std::erase_if(remote_reports_, [this, now](const auto& entry) {
        const bool expired = now - entry.second.received_at > report_lifetime;
        if (expired) {
            subtract_remote(entry.second.counts);
        }
        return expired;
    });
    update_yields(now);
}

void service_results::update_yields(kernel::time_point now)
{
    for (const auto& [service, counters] : local_counters_) {
        const auto all = fleet_levels(service, now);
        auto& state = yields_[service];
        state.yield.update(all, now);
        if (all.empty()) {
            state.local_fraction = 1;
            state.remote_fraction = 1;
            continue;
        }
        state.local_fraction = state.yield.weighted_fraction(levels_of(counters, now));
        const auto remote = remote_totals_.find(service);
        state.remote_fraction =
            remote == remote_totals_.end() ? 1 : state.yield.weighted_fraction(remote->second.levels);
    }
}

// A level with the requests of all less urgent ones is the last if there are many.
priority_levels service_results::levels_of(const service_counters& counters, kernel::time_point now)
{
    priority_levels levels;
    for (const auto& [priority, counter] : counters.arrivals) {
        const auto requests = counter.count(now, result_window);
        if (requests == 0) {
            continue;
        }
        const auto found = counters.unserved_by_priority.find(priority);
        const auto unserved =
            found == counters.unserved_by_priority.end() ? 0 : found->second.count(now, result_window);
        auto& level = levels.size() < maximum_reported_levels ? levels[priority] : std::prev(levels.end())->second;
        level.requests += requests;
        level.unserved += unserved;
    }
    return levels;
}

priority_levels service_results::fleet_levels(const kernel::service_name& service, kernel::time_point now) const
{
    result_counts sum;
    if (const auto local = local_counters_.find(service); local != local_counters_.end()) {
        sum.levels = levels_of(local->second, now);
    }
    if (const auto remote = remote_totals_.find(service); remote != remote_totals_.end()) {
        add(sum, remote->second);
    }
    return sum.levels.size() > 1 ? sum.levels : priority_levels{};
}

double service_results::less_urgent_weight(const kernel::service_name& service) const
{
    const auto found = yields_.find(service);
    return found == yields_.end() ? 1 : found->second.yield.less_urgent_weight();
}

result_counts service_results::remote_counts(const kernel::service_name& service,
                                             const std::function<bool(const kernel::host_name&)>& selects) const
{
    result_counts sum;
    for (const auto& [host, report] : remote_reports_) {
        const auto found = report.counts.find(service);
        if (found != report.counts.end() && selects(host)) {
            add(sum, found->second);
        }
    }
    return sum;
}

std::vector<kernel::host_name> service_results::serving_hosts(const kernel::service_name& service,
                                                              double fraction_of_busiest) const
{
    std::vector<std::pair<kernel::host_name, std::uint64_t>> requests;
    std::uint64_t most = 0;
    for (const auto& [host, report] : remote_reports_) {
        const auto found = report.counts.find(service);
        if (found != report.counts.end()) {
            requests.emplace_back(host, found->second.served + found->second.unserved);
            most = std::max(most, requests.back().second);
        }
    }
    std::vector<kernel::host_name> hosts;
    for (const auto& [host, count] : requests) {
        if (count > 0 && static_cast<double>(count) >= fraction_of_busiest * static_cast<double>(most)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

result_counts service_results::local_counts(const kernel::service_name& service, kernel::time_point now) const
{
    const auto found = local_counters_.find(service);
    if (found == local_counters_.end()) {
        return {};
    }
    const auto& counters = found->second;
    return {counters.served.count(now, result_window), counters.unserved.count(now, result_window),
            counters.demand_ms.count(now, result_window)};
}

service_counts service_results::local_report(kernel::time_point now) const
{
    std::vector<std::pair<kernel::service_name, result_counts>> found;
    for (const auto& [service, counters] : local_counters_) {
        auto counts = local_counts(service, now);
        counts.levels = levels_of(counters, now);
        if (counts != result_counts{}) {
            found.emplace_back(service, std::move(counts));
        }
    }
    if (found.size() > maximum_reported_services) {
        std::sort(found.begin(), found.end(),
                  [](const auto& left, const auto& right) { return left.second.unserved > right.second.unserved; });
        found.resize(maximum_reported_services);
    }
    return {found.begin(), found.end()};
}

double service_results::local_share(const kernel::service_name& service, kernel::time_point now) const
{
    const auto found = remote_totals_.find(service);
    if (found == remote_totals_.end() || found->second.demand_ms == 0) {
        return 1;
    }
    auto local = static_cast<double>(local_counts(service, now).demand_ms);
    auto remote = static_cast<double>(found->second.demand_ms);
    if (const auto state = yields_.find(service); state != yields_.end()) {
        local *= state->second.local_fraction;
        remote *= state->second.remote_fraction;
    }
    return local / (local + remote);
}

bool service_results::is_strained(const kernel::service_name& service, kernel::time_point now) const
{
    auto counts = local_counts(service, now);
    if (const auto found = remote_totals_.find(service); found != remote_totals_.end()) {
        counts.served += found->second.served;
        counts.unserved += found->second.unserved;
    }
    return static_cast<double>(counts.unserved) >
           strained_unserved_fraction * static_cast<double>(counts.served + counts.unserved);
}

} // namespace wisterialane::proxy
