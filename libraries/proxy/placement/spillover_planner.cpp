#include "libraries/proxy/placement/spillover_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wisterialane::proxy {
namespace {

/// A decision is used for this time; a loss of the local upstreams shows at once without it, as none of them is left.
constexpr kernel::duration decision_lifetime = std::chrono::milliseconds{100};
/// Requests of one destination that may be due at most, so that large requests that stayed cause no burst later.
constexpr double maximum_due = 8;
/// Change of a leaving share that is worth a log line.
constexpr double noteworthy_change = 0.05;
constexpr kernel::duration minimum_note_interval = std::chrono::seconds{1};

// The middle one of the values, the lower one of two; the fallback without values. A single host whose paths are cut
// doesn't decide for its data centre.
template <class Value>
Value median(std::vector<Value> values, Value fallback)
{
    if (values.empty()) {
        return fallback;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

void spillover_planner::record_report(const kernel::host_name& from, const kernel::data_centre_name& data_centre,
                                      service_supplies supplies, kernel::time_point now)
{
    reports_[from] = {data_centre, std::move(supplies), now};
}

const kernel::data_centre_name* spillover_planner::data_centre_of(const kernel::host_name& host) const
{
    const auto found = reports_.find(host);
    return found == reports_.end() ? nullptr : &found->second.data_centre;
}

void spillover_planner::expire(kernel::time_point now)
{
    std::erase_if(reports_,
                  [now](const auto& entry) { return now - entry.second.received_at > spillover_input_lifetime; });
}

double spillover_planner::reported_demand_ms(const kernel::service_name& service,
                                             const kernel::data_centre_name& data_centre) const
{
    const auto counts = results_.remote_counts(service, [&](const kernel::host_name& host) {
        const auto found = reports_.find(host);
        return found != reports_.end() && found->second.data_centre == data_centre;
    });
    return static_cast<double>(counts.demand_ms);
}

spillover_input spillover_planner::input_of(const kernel::service_name& service,
                                            const kernel::data_centre_name& data_centre, double observed_slots,
                                            kernel::time_point now) const
{
    spillover_input input;
    input.data_centre = data_centre;
    double demand_ms = reported_demand_ms(service, data_centre);
    std::vector<double> slots;
    std::vector<kernel::duration> waiting;
    for (const auto& [host, report] : reports_) {
        if (report.data_centre != data_centre) {
            continue;
        }
        input.reported_at = std::max(input.reported_at, report.received_at);
        if (const auto supply = report.supplies.find(service); supply != report.supplies.end()) {
            slots.push_back(supply->second.healthy_slots);
            if (supply->second.waiting) {
                waiting.emplace_back(*supply->second.waiting);
            }
        }
    }
    input.healthy_slots = observed_slots;
    if (data_centre == local_) {
        input.reported_at = now;
        demand_ms += static_cast<double>(results_.local_counts(service, now).demand_ms);
        if (const auto own = waiting_.find(service); own != waiting_.end()) {
            waiting.push_back(own->second);
        }
    }
    else {
        input.healthy_slots = std::min(observed_slots, median(std::move(slots), observed_slots));
    }
    const std::chrono::duration<double, std::milli> window = result_window;
    input.demand_slots = demand_ms / window.count();
    input.waiting = median(std::move(waiting), kernel::duration::zero());
    return input;
}

std::vector<spillover_input> spillover_planner::inputs_of(const kernel::service_name& service,
                                                          const slots_by_data_centre& observed,
                                                          kernel::time_point now) const
{
    auto slots = observed;
    slots.try_emplace(local_, 0);
    for (const auto& [host, report] : reports_) {
        slots.try_emplace(report.data_centre, 0);
    }
    std::vector<spillover_input> inputs;
    inputs.reserve(slots.size());
    for (const auto& [data_centre, observed_slots] : slots) {
        inputs.push_back(input_of(service, data_centre, observed_slots, now));
    }
    return inputs;
}

const spillover_decision& spillover_planner::decide(const kernel::service_name& service,
                                                    const std::function<slots_by_data_centre()>& observed,
                                                    kernel::time_point now)
{
    auto& plan = plans_[service];
    if (plan.decided_at == kernel::time_point::min() || now - plan.decided_at >= decision_lifetime) {
        plan.inputs = inputs_of(service, observed(), now);
        plan.decision = decide_spillover(local_, plan.inputs, now);
        plan.decided_at = now;
        std::erase_if(plan.due, [&plan](const auto& entry) { return !plan.decision.shares.contains(entry.first); });
    }
    return plan.decision;
}

std::optional<kernel::data_centre_name> spillover_planner::turn_to_leave(const kernel::service_name& service,
                                                                         std::uint64_t body_bytes) const
{
    const auto plan = plans_.find(service);
    if (plan == plans_.end()) {
        return std::nullopt;
    }
    std::optional<kernel::data_centre_name> chosen;
    double most = leaving_threshold(body_bytes);
    for (const auto& [data_centre, share] : plan->second.decision.shares) {
        const auto due = plan->second.due.find(data_centre);
        const double with_this = share + (due == plan->second.due.end() ? 0 : due->second);
        if (with_this >= most) {
            most = with_this;
            chosen = data_centre;
        }
    }
    return chosen;
}

void spillover_planner::record_sent(const kernel::service_name& service, const kernel::data_centre_name& data_centre)
{
    const auto found = plans_.find(service);
    if (found == plans_.end()) {
        return;
    }
    auto& plan = found->second;
    for (const auto& [destination, share] : plan.decision.shares) {
        const double sent = destination == data_centre ? 1 : 0;
        auto& due = plan.due[destination];
        due = std::clamp(due + share - sent, -maximum_due, maximum_due);
    }
}

kernel::duration spillover_planner::waiting(const kernel::service_name& service) const
{
    const auto found = waiting_.find(service);
    return found == waiting_.end() ? kernel::duration::zero() : found->second;
}

std::vector<kernel::service_name> spillover_planner::take_changed(kernel::time_point now)
{
    std::vector<kernel::service_name> changed;
    for (auto& [service, plan] : plans_) {
        if (now - plan.noted_at < minimum_note_interval) {
            continue;
        }
        const double leaving = plan.decision.leaving();
        const bool began_or_ended = (leaving > 0) != (plan.noted_leaving > 0);
        if (began_or_ended || std::abs(leaving - plan.noted_leaving) >= noteworthy_change) {
            plan.noted_leaving = leaving;
            plan.noted_at = now;
            changed.push_back(service);
        }
    }
    return changed;
}

double spillover_planner::share_of_data_centre(const kernel::service_name& service, kernel::time_point now) const
{
    const auto others = reported_demand_ms(service, local_);
    const auto own = static_cast<double>(results_.local_counts(service, now).demand_ms);
    return others > 0 ? own / (own + others) : 1;
}

} // namespace wisterialane::proxy
