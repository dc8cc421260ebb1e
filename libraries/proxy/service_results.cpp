#include "libraries/proxy/service_results.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace wisterialane::proxy {
namespace {

constexpr std::chrono::seconds window{3};
/// A report is forgotten after this time; hosts that callers are sent to report twice a second.
constexpr kernel::duration report_life = std::chrono::milliseconds{2500};
/// More services are not reported in one message.
constexpr std::size_t maximum_reported_services = 32;
/// Below the tenth of the requests from which on every sound upstream has to work, because reports are late.
constexpr double strain_threshold = 0.07;

} // namespace

void service_results::record(const kernel::service_name& service, request_result result, kernel::time_point now)
{
    auto& counted = here_[service];
    (result == request_result::served ? counted.served : counted.unserved).add(now);
}

void service_results::record_remote(const kernel::host_name& from, service_counts counts, kernel::time_point now)
{
    auto& known = reports_[from];
    forget(known.counts);
    for (const auto& [service, count] : counts) {
        auto& sum = elsewhere_[service];
        sum.served += count.served;
        sum.unserved += count.unserved;
    }
    known = {std::move(counts), now};
}

void service_results::forget(const service_counts& counts)
{
    for (const auto& [service, count] : counts) {
        auto& sum = elsewhere_[service];
        sum.served -= count.served;
        sum.unserved -= count.unserved;
    }
}

void service_results::expire(kernel::time_point now)
{
    std::erase_if(reports_, [this, now](const auto& entry) {
        const bool old = now - entry.second.heard > report_life;
        if (old) {
            forget(entry.second.counts);
        }
        return old;
    });
}

result_counts service_results::local_counts(const kernel::service_name& service, kernel::time_point now) const
{
    const auto found = here_.find(service);
    if (found == here_.end()) {
        return {};
    }
    return {found->second.served.count(now, window), found->second.unserved.count(now, window)};
}

service_counts service_results::local_report(kernel::time_point now) const
{
    std::vector<std::pair<kernel::service_name, result_counts>> found;
    for (const auto& [service, counted] : here_) {
        if (const auto counts = local_counts(service, now); counts != result_counts{}) {
            found.emplace_back(service, counts);
        }
    }
    if (found.size() > maximum_reported_services) {
        std::sort(found.begin(), found.end(),
                  [](const auto& left, const auto& right) { return left.second.unserved > right.second.unserved; });
        found.resize(maximum_reported_services);
    }
    return {found.begin(), found.end()};
}

bool service_results::is_strained(const kernel::service_name& service, kernel::time_point now) const
{
    auto counts = local_counts(service, now);
    if (const auto found = elsewhere_.find(service); found != elsewhere_.end()) {
        counts.served += found->second.served;
        counts.unserved += found->second.unserved;
    }
    return static_cast<double>(counts.unserved) >
           strain_threshold * static_cast<double>(counts.served + counts.unserved);
}

} // namespace wisterialane::proxy
