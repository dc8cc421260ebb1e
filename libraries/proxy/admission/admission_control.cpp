#include "libraries/proxy/admission/admission_control.h"

#include "libraries/proxy/admission/retry_policy.h"

#include <algorithm>
#include <utility>

namespace wisterialane::proxy {
namespace {

/// Part of the retry budget that hedges leave: an earlier attempt of theirs may still succeed.
constexpr double hedge_reserve = 0.5;

} // namespace

std::string_view to_name(retry_decision decision)
{
    switch (decision) {
    case retry_decision::send:
        return "sent";
    case retry_decision::too_late:
        return "too_late";
    case retry_decision::no_budget:
        break;
    }
    return "no_budget";
}

void admission_control::record_arrival(const request_profile& request, kernel::time_point now)
{
    results_.record_demand(request.service, balancer_.service_latency(request.service), now, request.priority);
}

void admission_control::record_first_send(const request_profile& request, kernel::time_point now)
{
    budget_.record_request(request.service, now);
}

void admission_control::record_accepted(const kernel::service_name& service, kernel::duration latency,
                                        kernel::time_point now)
{
    monitors_[service].record_accepted(latency, now);
}

bool admission_control::record_shed(const kernel::service_name& service, const observed_shed& shed,
                                    kernel::time_point now)
{
    auto& monitor = monitors_[service];
    monitor.record_shed(shed, now);
    return monitor.is_congested(now) || !monitor.is_shedding(now);
}

retry_decision admission_control::decide_retry(const request_profile& request, retry_purpose purpose,
                                               kernel::time_point now)
{
    const auto reserve = retry_reserve({request.received_at, request.target_latency, request.response_deadline,
                                        balancer_.service_latency(request.service),
                                        results_.place_of(request.service, request.priority, now).more_urgent},
                                       now);
    if (!reserve) {
        return retry_decision::too_late;
    }
    const auto kept = purpose == retry_purpose::hedge ? std::max(hedge_reserve, *reserve) : *reserve;
    return budget_.try_consume(request.service, now, kept) ? retry_decision::send : retry_decision::no_budget;
}

refused_request admission_control::describe(const request_profile& request, kernel::time_point now) const
{
    return {request.service, request.priority, results_.place_of(request.service, request.priority, now),
            request.received_at + request.target_latency, balancer_.service_latency(request.service)};
}

kernel::duration admission_control::retry_after_shed(const request_profile& request, kernel::time_point now)
{
    const auto found = monitors_.find(request.service);
    if (found != monitors_.end() && found->second.is_congested(now)) {
        return retry_after_overload(request, kernel::duration::zero(), now);
    }
    return schedule_.after_shed(describe(request, now), now);
}

kernel::duration admission_control::retry_after_overload(const request_profile& request, kernel::duration expected_wait,
                                                         kernel::time_point now)
{
    const std::chrono::duration<double> latency =
        std::max<kernel::duration>(balancer_.service_latency(request.service), std::chrono::milliseconds{1});
    const auto in_flight = static_cast<double>(balancer_.requests_in_flight(request.service));
    return schedule_.after_overload(describe(request, now), expected_wait, in_flight / latency.count(), now);
}

queue_state admission_control::queue_state_of(const kernel::service_name& service, kernel::time_point now) const
{
    const auto found = monitors_.find(service);
    const auto recent = found == monitors_.end() ? kernel::duration::zero() : found->second.recent_latency(now);
    const auto latency = recent > kernel::duration::zero() ? recent : balancer_.service_latency(service);
    return {latency, 0, balancer_.requests_in_flight(service)};
}

request_priority admission_control::queue_priority(const request_profile& request, kernel::time_point now) const
{
    const auto levels = results_.fleet_levels(request.service, now);
    return is_starved(levels, request.priority) ? levels.begin()->first : request.priority;
}

double admission_control::limit_factor(const kernel::service_name& service, kernel::time_point now) const
{
    const auto found = monitors_.find(service);
    return found == monitors_.end() ? 1 : found->second.limit_factor(now);
}

std::vector<shedding_state> admission_control::shedding_states(kernel::time_point now) const
{
    std::vector<shedding_state> states;
    for (const auto& [service, monitor] : monitors_) {
        states.push_back({service, monitor.is_shedding(now), monitor.is_congested(now), monitor.accepted_fraction(now),
                          monitor.limit_factor(now)});
    }
    return states;
}

std::vector<shedding_state> admission_control::take_shedding_changes(kernel::time_point now)
{
    auto changes = shedding_states(now);
    std::erase_if(changes, [this](const auto& state) {
        return std::exchange(reported_shedding_[state.service], state.shedding) == state.shedding;
    });
    return changes;
}

} // namespace wisterialane::proxy
