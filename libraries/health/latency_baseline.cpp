#include "libraries/health/latency_baseline.h"

#include <algorithm>
#include <vector>

namespace wisterialane::health {

kernel::duration latency_baseline::upstream_samples::median() const
{
    auto sorted = latencies;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(count));
    return *middle;
}

void latency_baseline::add(const kernel::route_name& route, const kernel::upstream_name& upstream,
                           kernel::duration latency, kernel::time_point now)
{
    auto& state = routes_[route];
    auto& samples = state.samples[upstream];
    if (now - samples.newest > maximum_age) {
        samples.count = 0;
        samples.next = 0;
    }
    samples.latencies[samples.next] = latency;
    samples.next = (samples.next + 1) % samples_per_upstream;
    samples.count = std::min(samples.count + 1, samples_per_upstream);
    samples.newest = now;
    refresh(state, now);
}

void latency_baseline::refresh(route_state& route, kernel::time_point now)
{
    std::vector<kernel::duration> medians;
    std::size_t total = 0;
    for (const auto& [name, samples] : route.samples) {
        if (now - samples.newest <= maximum_age) {
            medians.push_back(samples.median());
            total += samples.count;
        }
    }
    route.valid_until = now + maximum_age;
    if (medians.size() < 2 || total < minimum_samples) {
        route.limit.reset();
        return;
    }
    // The lower of the two middle values, so that one slow upstream of two does not raise the baseline.
    const auto middle = medians.begin() + static_cast<std::ptrdiff_t>((medians.size() - 1) / 2);
    std::nth_element(medians.begin(), middle, medians.end());
    route.limit = std::max(*middle * slow_factor, *middle + minimum_excess);
}

std::optional<kernel::duration> latency_baseline::slow_limit(const kernel::route_name& route,
                                                             kernel::time_point now) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end() || now > found->second.valid_until) {
        return std::nullopt;
    }
    return found->second.limit;
}

void latency_baseline::remove(const kernel::upstream_name& upstream)
{
    for (auto& [name, route] : routes_) {
        route.samples.erase(upstream);
    }
}

} // namespace wisterialane::health
