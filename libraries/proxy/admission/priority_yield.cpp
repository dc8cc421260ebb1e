#include "libraries/proxy/admission/priority_yield.h"

#include <algorithm>
#include <iterator>

namespace wisterialane::proxy {
namespace {

/// Reports arrive twice a second, so a change shows in the counts after that time.
constexpr kernel::duration update_interval = std::chrono::milliseconds{500};
/// Unserved fraction of a priority above which less urgent ones give way. A class may be served less often than a
/// less urgent one by 0.05 at most.
constexpr double unserved_threshold = 0.03;
/// With fewer requests than this, a fraction means nothing.
constexpr std::uint64_t minimum_requests = 20;
constexpr double decrease_factor = 0.7;
constexpr double increase = 0.1;
/// Each class has to be served a quarter as often as all.
constexpr double minimum_weight = 0.25;
/// A class that is served less often than all by this factor is raised. More than the quarter that it must keep,
/// because the counts cover three seconds and the effect of raising it comes late.
constexpr double starved_factor = 0.35;

double served_fraction(const level_counts& counts)
{
    const auto unserved = std::min(counts.unserved, counts.requests);
    return static_cast<double>(counts.requests - unserved) / static_cast<double>(counts.requests);
}

} // namespace

void priority_yield::update(const priority_levels& levels, kernel::time_point now)
{
    if (now - updated_at_ < update_interval) {
        return;
    }
    updated_at_ = now;
    const auto unserved = std::find_if(levels.begin(), levels.end(), [](const auto& level) {
        return level.second.requests >= minimum_requests && served_fraction(level.second) < 1 - unserved_threshold;
    });
    if (unserved == levels.end() || std::next(unserved) == levels.end()) {
        weight_ = std::min(1.0, weight_ + increase);
        return;
    }
    preferred_ = unserved->first;
    weight_ = std::max(minimum_weight, decrease_factor * weight_);
}

double priority_yield::weighted_fraction(const priority_levels& levels) const
{
    double weighted = 0;
    double all = 0;
    for (const auto& [priority, counts] : levels) {
        const auto requests = static_cast<double>(counts.requests);
        weighted += preferred_ < priority ? weight_ * requests : requests;
        all += requests;
    }
    return all > 0 ? weighted / all : 1;
}

bool is_starved(const priority_levels& levels, request_priority priority)
{
    const auto found = levels.find(priority);
    if (found == levels.end() || found->second.requests < minimum_requests) {
        return false;
    }
    level_counts all;
    for (const auto& [other, counts] : levels) {
        all.requests += counts.requests;
        all.unserved += counts.unserved;
    }
    return served_fraction(found->second) < starved_factor * served_fraction(all);
}

} // namespace wisterialane::proxy
