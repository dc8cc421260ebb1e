#include "libraries/health/balancer.h"

#include "libraries/health/health_events.h"

#include <algorithm>
#include <cmath>

namespace wisterialane::health {
namespace {

/// Weight of a new observation in the smoothed latency.
constexpr double smoothing = 0.3;
/// An observation fades towards the mean of the service, because an upstream that was slow once and is then never
/// chosen could not show that it has recovered.
constexpr double fade_seconds = 2.0;
constexpr double failure_factor = 1.5;
constexpr double longest_latency_seconds = 10.0;
/// Differences below this are noise of the host.
constexpr double shortest_latency_seconds = 0.001;

double seconds_of(kernel::duration value)
{
    return std::chrono::duration<double>(value).count();
}

double uniform(const random_source& random)
{
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(random() >> 11U) * scale;
}

} // namespace

void balancer::configure(const service_definition& definition)
{
    std::unordered_map<kernel::upstream_name, upstream_load> next;
    for (const auto& upstream : definition.upstreams) {
        auto& load = next[upstream.name];
        if (const auto found = upstreams_.find(upstream.name); found != upstreams_.end()) {
            load = found->second;
            upstreams_.erase(found);
        }
        if (const auto found = removed_.find(upstream.name); found != removed_.end()) {
            load.in_flight = found->second;
            removed_.erase(found);
        }
        load.slots = upstream.slots;
    }
    for (const auto& [name, load] : upstreams_) {
        if (load.in_flight > 0) {
            removed_[name] = load.in_flight;
        }
    }
    upstreams_ = std::move(next);
}

kernel::result<kernel::upstream_name> balancer::choose(const weight_function& weight,
                                                       const std::unordered_set<kernel::upstream_name>& excluded,
                                                       const random_source& random, kernel::time_point now) const
{
    std::vector<candidate> open;
    std::vector<candidate> paused;
    bool any_usable = false;
    for (const auto& [name, load] : upstreams_) {
        const double share = excluded.contains(name) ? 0 : weight(name);
        if (share <= 0) {
            continue;
        }
        any_usable = true;
        if (load.in_flight < load.slots) {
            auto& list = now < load.paused_until ? paused : open;
            list.push_back({&name, &load, share * load.slots});
        }
    }
    auto& candidates = open.empty() ? paused : open;
    if (candidates.empty()) {
        return kernel::fail(any_usable ? health_event::upstreams_busy : health_event::no_usable_upstream);
    }
    const auto draw = [&] {
        double total = 0;
        for (const auto& item : candidates) {
            total += item.share;
        }
        double position = uniform(random) * total;
        auto chosen = candidates.begin();
        while (std::next(chosen) != candidates.end() && position >= chosen->share) {
            position -= chosen->share;
            ++chosen;
        }
        const auto result = *chosen;
        candidates.erase(chosen);
        return result;
    };
    const auto first = draw();
    if (candidates.empty()) {
        return *first.name;
    }
    const auto second = draw();
    const double mean = mean_latency();
    return cost(*second.load, mean, now) < cost(*first.load, mean, now) ? *second.name : *first.name;
}

double balancer::mean_latency() const
{
    double sum = 0;
    unsigned count = 0;
    for (const auto& [name, load] : upstreams_) {
        if (load.latency > 0) {
            sum += load.latency;
            ++count;
        }
    }
    return count == 0 ? shortest_latency_seconds : sum / count;
}

double balancer::cost(const upstream_load& load, double mean_latency, kernel::time_point now)
{
    double latency = mean_latency;
    if (load.latency > 0) {
        latency += (load.latency - mean_latency) * std::exp(-seconds_of(now - load.observed) / fade_seconds);
    }
    return (load.in_flight + 1.0) / load.slots * std::max(latency, shortest_latency_seconds);
}

void balancer::smooth_latency(upstream_load& load, double seconds, kernel::time_point now) const
{
    const double bounded = std::clamp(seconds, shortest_latency_seconds, longest_latency_seconds);
    load.latency = load.latency <= 0 ? bounded : load.latency + smoothing * (bounded - load.latency);
    load.observed = now;
}

void balancer::started(const kernel::upstream_name& name)
{
    if (const auto found = upstreams_.find(name); found != upstreams_.end()) {
        ++found->second.in_flight;
    }
}

void balancer::finished(const kernel::upstream_name& name)
{
    if (const auto found = upstreams_.find(name); found != upstreams_.end()) {
        found->second.in_flight -= std::min(found->second.in_flight, 1U);
    }
    else if (const auto removed = removed_.find(name); removed != removed_.end() && --removed->second == 0) {
        removed_.erase(removed);
    }
}

void balancer::observe_latency(const kernel::upstream_name& name, kernel::duration latency, kernel::time_point now)
{
    if (const auto found = upstreams_.find(name); found != upstreams_.end()) {
        smooth_latency(found->second, seconds_of(latency), now);
    }
}

void balancer::observe_failure(const kernel::upstream_name& name, kernel::time_point now)
{
    if (const auto found = upstreams_.find(name); found != upstreams_.end()) {
        auto& load = found->second;
        const double before = load.latency > 0 ? load.latency : mean_latency();
        load.latency = std::min(before * failure_factor, longest_latency_seconds);
        load.observed = now;
    }
}

void balancer::observe_shed(const kernel::upstream_name& name, kernel::time_point now)
{
    if (const auto found = upstreams_.find(name); found != upstreams_.end()) {
        found->second.paused_until = now + shed_pause;
    }
}

unsigned balancer::in_flight(const kernel::upstream_name& name) const
{
    const auto found = upstreams_.find(name);
    return found == upstreams_.end() ? 0 : found->second.in_flight;
}

} // namespace wisterialane::health
