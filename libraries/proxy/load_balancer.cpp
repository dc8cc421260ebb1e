#include "libraries/proxy/load_balancer.h"

#include <algorithm>
#include <tuple>

namespace wisterialane::proxy {
namespace {

using seconds = std::chrono::duration<double>;

/// Latency that is assumed before the first answer of a service.
constexpr kernel::duration assumed_latency = std::chrono::milliseconds{200};
/// An exchange that takes this many times the usual time says that its upstream hangs.
constexpr int stuck_factor = 4;
constexpr kernel::duration minimum_stuck_time = std::chrono::milliseconds{600};
/// A busy upstream counts as this much more loaded.
constexpr double busy_penalty = 4;
/// Weight of another data centre in the cost: its upstreams are used when those here have no free slot.
constexpr double remote_factor = 1.5;
constexpr double cold_factor = 2;
/// At most this part of a service's upstreams is kept without work for longer than `minimum_ejection_time`: the rest of
/// the service has to carry their load, and many failures at once say more about the evidence than about the upstreams.
constexpr double maximum_suspected_part = 0.45;
/// The same while callers go unserved: then every upstream that may be sound has to work.
constexpr double strained_suspected_part = 0.3;
/// An upstream without a request for this time counts as unused in `service_summary`.
constexpr std::chrono::seconds use_window{2};

/// Requests that this host keeps at one upstream: its slots and half as many in its queue.
std::size_t limit_of(const tracked_upstream& item)
{
    return item.record.slots + (item.record.slots + 1) / 2;
}

} // namespace

bool load_balancer::is_stuck(const tracked_upstream& item, kernel::duration typical, kernel::time_point now)
{
    const auto limit = std::max(minimum_stuck_time, stuck_factor * typical);
    return !item.in_flight.empty() && now - *item.in_flight.begin() > limit;
}

trust load_balancer::trust_of(const tracked_upstream& item, kernel::duration typical, kernel::time_point now)
{
    // The entry of a missing one may come back, so it is used only if nothing else is left.
    if (item.missing || is_stuck(item, typical, now)) {
        return trust::suspected;
    }
    return item.health.state(now);
}

// Upstreams of about the same speed get their turns alike, so that each is known and works. A strained service needs
// also its slow ones.
double load_balancer::cost_of(const tracked_upstream& item, kernel::duration typical, bool strained,
                              kernel::time_point now) const
{
    const bool slow = !strained && item.latency > typical + typical / 2;
    const auto latency = slow ? item.latency : typical;
    const double load = static_cast<double>(item.in_flight.size() + 1) / std::max(1U, item.record.slots);
    double cost = seconds{latency}.count() * (1 + load);
    if (now < item.busy_until) {
        cost *= busy_penalty;
    }
    if (item.record.data_centre != here_) {
        cost *= remote_factor;
    }
    if (item.record.remaining_warm_up > std::chrono::milliseconds{0}) {
        cost *= cold_factor;
    }
    return cost;
}

// Of equals the one that has waited longest for a request, so that each gets its turn.
tracked_upstream* load_balancer::cheapest(const std::vector<candidate>& candidates)
{
    const auto found = std::min_element(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
        return std::tie(left.cost, left.item->sent_at) < std::tie(right.cost, right.item->sent_at);
    });
    return found == candidates.end() ? nullptr : found->item;
}

// Traffic between data centres costs, so an upstream here goes first while one of its slots is free.
tracked_upstream* load_balancer::cheapest_here(const std::vector<candidate>& candidates) const
{
    std::vector<candidate> local;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(local), [this](const auto& entry) {
        return entry.item->record.data_centre == here_ && entry.item->in_flight.size() < entry.item->record.slots;
    });
    return cheapest(local);
}

// Suspected upstreams that get a trial before their time, because too many of the service are suspected. Those that
// have been suspected longest come first.
std::set<kernel::upstream_name> load_balancer::released_early(const std::vector<tracked_upstream*>& items,
                                                              double suspected_part, kernel::time_point now)
{
    std::vector<const tracked_upstream*> suspected;
    std::copy_if(items.begin(), items.end(), std::back_inserter(suspected),
                 [now](const auto* item) { return !item->missing && item->health.state(now) == trust::suspected; });
    const auto allowed = static_cast<std::size_t>(suspected_part * static_cast<double>(items.size()));
    std::set<kernel::upstream_name> released;
    if (suspected.size() <= allowed) {
        return released;
    }
    std::sort(suspected.begin(), suspected.end(), [](const auto* left, const auto* right) {
        return left->health.suspected_since() < right->health.suspected_since();
    });
    suspected.resize(suspected.size() - allowed);
    for (const auto* item : suspected) {
        if (now - item->health.suspected_since() >= minimum_ejection_time) {
            released.insert(item->record.id);
        }
    }
    return released;
}

service_summary load_balancer::summarize(const kernel::service_name& service, kernel::time_point now) const
{
    service_summary view;
    const auto typical = std::max(service_latency(service), kernel::duration{1});
    for (const auto* item : directory_.of_service(service)) {
        if (item->draining) {
            continue;
        }
        const auto state = item->health.state(now);
        view.trusted += state == trust::trusted ? 1 : 0;
        view.on_trial += state == trust::trial ? 1 : 0;
        view.suspected += state == trust::suspected ? 1 : 0;
        view.missing += item->missing ? 1 : 0;
        view.stuck += is_stuck(*item, typical, now) ? 1 : 0;
        view.recently_used += now - item->sent_at < use_window ? 1 : 0;
    }
    view.results = results_.local_counts(service, now);
    view.strained = results_.is_strained(service, now);
    return view;
}

load_balancer::shortlist load_balancer::sort(const std::vector<tracked_upstream*>& items, kernel::duration typical,
                                             bool strained, kernel::time_point now) const
{
    shortlist result;
    const auto released = released_early(items, strained ? strained_suspected_part : maximum_suspected_part, now);
    for (auto* item : items) {
        auto state = trust_of(*item, typical, now);
        if (state == trust::suspected && released.contains(item->record.id)) {
            state = trust::trial;
        }
        const auto limit = state == trust::trial ? 1 : limit_of(*item);
        if (item->in_flight.size() >= limit) {
            result.some_are_full = result.some_are_full || state != trust::suspected;
            continue;
        }
        auto& list =
            state == trust::trusted ? result.trusted : (state == trust::trial ? result.on_trial : result.suspected);
        list.push_back({item, cost_of(*item, typical, strained, now)});
    }
    return result;
}

tl::expected<tracked_upstream*, selection_error> load_balancer::choose(const selection_request& request,
                                                                       kernel::time_point now)
{
    auto items = directory_.of_service(request.service);
    std::erase_if(items, [](const auto* item) { return item->draining; });
    const auto typical = std::max(service_latency(request.service), kernel::duration{1});
    auto list = sort(items, typical, results_.is_strained(request.service, now), now);
    const auto is_excluded = [&request](const auto& entry) { return request.excluded.contains(entry.item->record.id); };
    std::erase_if(list.trusted, is_excluded);
    std::erase_if(list.on_trial, is_excluded);
    std::erase_if(list.suspected, is_excluded);
    // A repeatable request costs its caller little when the trial fails. Every second one leaves the others their
    // turns.
    const bool takes_trial = request.repeatable && request.excluded.empty() && ++turn_ % 2 == 0;
    if (takes_trial && !list.on_trial.empty()) {
        return cheapest(list.on_trial);
    }
    list.trusted.insert(list.trusted.end(), list.on_trial.begin(), list.on_trial.end());
    if (auto* chosen = cheapest_here(list.trusted)) {
        return chosen;
    }
    if (auto* chosen = cheapest(list.trusted)) {
        return chosen;
    }
    if (list.some_are_full) {
        return tl::unexpected{selection_error::all_at_limit};
    }
    if (auto* chosen = least_suspected(list.suspected, now)) {
        return chosen;
    }
    return tl::unexpected{selection_error::none_available};
}

tracked_upstream* load_balancer::least_suspected(const std::vector<candidate>& candidates, kernel::time_point now)
{
    const auto found =
        std::min_element(candidates.begin(), candidates.end(), [now](const auto& left, const auto& right) {
            return left.item->health.suspicion(now) < right.item->health.suspicion(now);
        });
    return found == candidates.end() ? nullptr : found->item;
}

kernel::duration load_balancer::service_latency(const kernel::service_name& service) const
{
    kernel::duration sum{};
    int count = 0;
    for (const auto* item : directory_.of_service(service)) {
        if (item->latency > kernel::duration::zero()) {
            sum += item->latency;
            ++count;
        }
    }
    return count == 0 ? assumed_latency : sum / count;
}

} // namespace wisterialane::proxy
