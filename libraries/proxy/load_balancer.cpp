#include "libraries/proxy/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace wisterialane::proxy {
namespace {

using seconds = std::chrono::duration<double>;

/// Latency of a service before its first answer.
constexpr kernel::duration assumed_latency = std::chrono::milliseconds{200};
/// An exchange that takes more than this many times the mean latency marks its upstream as stuck.
constexpr int stuck_factor = 4;
constexpr kernel::duration minimum_stuck_time = std::chrono::milliseconds{600};
/// Factors of the cost of an upstream: one that has recently shed a request, and one that is warming up.
constexpr double busy_cost_factor = 4;
constexpr double warm_up_cost_factor = 2;
/// An upstream whose latency exceeds the mean by more than this fraction of it is avoided as slow.
constexpr double slow_excess = 0.5;
/// The excess of an upstream's latency over the mean counts half after this time without a response.
constexpr seconds latency_half_life{2};
/// At most this fraction of a service's upstreams is ejected for longer than `minimum_ejection_time`: the others have
/// to carry their load, and many failures at once suggest that the evidence is wrong rather than the upstreams.
constexpr double maximum_ejected_fraction = 0.45;
/// The same limit while callers are unserved: then every upstream that may be healthy is needed.
constexpr double strained_maximum_ejected_fraction = 0.3;
/// Turns after which a standby host may try a suspected upstream, because the active hosts do not.
constexpr std::int64_t standby_turn = 8;
/// Time between the hosts' turns to try a suspected upstream. If the first host sends no request or gets no response in
/// this time, the next one may try as well.
constexpr std::chrono::milliseconds trial_turn_time{250};
/// Seed of the order in which hosts share the rate of an upstream.
constexpr std::uint64_t rate_limit_seed = 0;
/// The host that keeps an upstream in use sends it a request after this time without one, so that it is not without one
/// for two seconds.
constexpr kernel::duration longest_unused_time = std::chrono::milliseconds{1200};
/// An upstream that received a request within this time counts as used in `service_summary`.
constexpr std::chrono::seconds recent_use_window{2};

/// A host may have this many requests in flight at a service, however few of its callers use it.
constexpr std::size_t minimum_service_limit = 2;
/// Mean time for which requests may wait in the upstreams' queues. Callers with a second left still get a response.
constexpr seconds upstream_queue_time{0.3};

/// Limit of this host's requests in flight at one upstream: its slots, and half as many in its queue.
std::size_t request_limit(const tracked_upstream& upstream)
{
    return upstream.record.slots + (upstream.record.slots + 1) / 2;
}

} // namespace

bool load_balancer::is_stuck(const tracked_upstream& upstream, kernel::duration mean_latency, kernel::time_point now)
{
    const auto limit = std::max(minimum_stuck_time, stuck_factor * mean_latency);
    return !upstream.in_flight.empty() && now - *upstream.in_flight.begin() > limit;
}

trust load_balancer::trust_of(const tracked_upstream& upstream, kernel::duration mean_latency, kernel::time_point now)
{
    // The entry of a missing upstream may reappear, so it is used only as a last resort.
    if (upstream.missing || is_stuck(upstream, mean_latency, now)) {
        return trust::suspected;
    }
    return upstream.health.state(now);
}

// An upstream that is avoided for its latency has no responses that could correct it, so an old latency counts less.
bool load_balancer::is_slow(const tracked_upstream& upstream, kernel::duration mean_latency, kernel::time_point now)
{
    const seconds excess = upstream.latency - mean_latency;
    const seconds age = now - upstream.last_response_at;
    return excess * std::exp2(-age / latency_half_life) > slow_excess * seconds{mean_latency};
}

// A strained service also needs its slow upstreams, so latency is ignored there.
bool load_balancer::is_avoided_as_slow(const tracked_upstream& upstream, const selection_state& selection)
{
    return !selection.strained && is_slow(upstream, selection.mean_latency, selection.now);
}

// Latency counts only for upstreams that are much slower than the mean, so that all others receive requests in turn and
// this host has recent evidence on each.
double load_balancer::cost_of(const tracked_upstream& upstream, const selection_state& selection) const
{
    const auto latency = is_avoided_as_slow(upstream, selection) ? upstream.latency : selection.mean_latency;
    const double load = static_cast<double>(upstream.in_flight.size() + 1) / std::max(1U, upstream.record.slots);
    double cost = seconds{latency}.count() * (1 + load);
    if (selection.now < upstream.busy_until) {
        cost *= busy_cost_factor;
    }
    if (upstream.record.data_centre != local_data_centre_) {
        cost *= remote_cost_factor(selection.request.body_bytes);
    }
    if (upstream.record.remaining_warm_up > std::chrono::milliseconds{0}) {
        cost *= warm_up_cost_factor;
    }
    return cost;
}

// Of upstreams of equal cost, the one whose last request is oldest is chosen, so that requests are spread in turn.
tracked_upstream* load_balancer::cheapest(const std::vector<candidate>& candidates)
{
    const auto found = std::min_element(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
        return std::pair{left.cost, left.upstream->last_use()} < std::pair{right.cost, right.upstream->last_use()};
    });
    return found == candidates.end() ? nullptr : found->upstream;
}

// The cheapest upstream of the data centre that has a free slot.
tracked_upstream* load_balancer::cheapest_free(const std::vector<candidate>& candidates,
                                               const kernel::data_centre_name& data_centre)
{
    std::vector<candidate> found;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(found), [&data_centre](const auto& entry) {
        return entry.upstream->record.data_centre == data_centre &&
               entry.upstream->in_flight.size() < entry.upstream->record.slots;
    });
    return cheapest(found);
}

// Traffic between data centres costs, so requests whose turn it is not to leave are sent to local upstreams while these
// have a free slot, and then to the data centres that take more. If none does, they wait for a local upstream.
tracked_upstream* load_balancer::choose_placed(const candidate_lists& candidates, const selection_request& request,
                                               const spillover_decision& decision) const
{
    if (const auto destination = spillover_.turn_to_leave(request.service, request.body_bytes)) {
        if (auto* chosen = cheapest_free(candidates.trusted, *destination)) {
            return chosen;
        }
    }
    if (auto* chosen = cheapest_free(candidates.trusted, local_data_centre_)) {
        return chosen;
    }
    std::vector<candidate> admitted;
    std::copy_if(candidates.trusted.begin(), candidates.trusted.end(), std::back_inserter(admitted),
                 [&](const auto& entry) {
                     const auto& data_centre = entry.upstream->record.data_centre;
                     return data_centre == local_data_centre_ || decision.admits_overflow(data_centre);
                 });
    if (admitted.empty() && !candidates.local_at_limit) {
        return cheapest(candidates.trusted);
    }
    return cheapest(admitted);
}

slots_by_data_centre load_balancer::healthy_slots(const kernel::service_name& service, kernel::time_point now) const
{
    const auto mean_latency = std::max(service_latency(service), kernel::duration{1});
    const double cold_slots = cold_start_limit_.per_second(service) * seconds{mean_latency}.count();
    slots_by_data_centre slots;
    for (const auto* upstream : directory_.of_service(service)) {
        auto& sum = slots[upstream->record.data_centre];
        if (!is_open(*upstream, now) || upstream->rate_limit.applies(now) ||
            trust_of(*upstream, mean_latency, now) != trust::trusted) {
            continue;
        }
        const double own_slots = upstream->record.slots;
        sum += is_cold_limited(*upstream, now) ? std::min(own_slots, cold_slots) : own_slots;
    }
    return slots;
}

// Suspected upstreams that go on trial before their ejection time ends, because too many of the service are suspected.
// Those suspected for longest are released first.
std::set<kernel::upstream_name> load_balancer::released_early(const std::vector<tracked_upstream*>& upstreams,
                                                              double ejected_fraction, kernel::time_point now)
{
    std::vector<const tracked_upstream*> suspected;
    std::copy_if(upstreams.begin(), upstreams.end(), std::back_inserter(suspected), [now](const auto* upstream) {
        return !upstream->missing && !upstream->health.is_unreachable() &&
               upstream->health.state(now) == trust::suspected;
    });
    const auto allowed = static_cast<std::size_t>(ejected_fraction * static_cast<double>(upstreams.size()));
    std::set<kernel::upstream_name> released;
    if (suspected.size() <= allowed) {
        return released;
    }
    std::sort(suspected.begin(), suspected.end(), [](const auto* left, const auto* right) {
        return left->health.suspected_since() < right->health.suspected_since();
    });
    suspected.resize(suspected.size() - allowed);
    for (const auto* upstream : suspected) {
        if (now - upstream->health.suspected_since() >= minimum_ejection_time) {
            released.insert(upstream->record.id);
        }
    }
    return released;
}

service_summary load_balancer::summarize(const kernel::service_name& service, kernel::time_point now)
{
    service_summary summary;
    const auto mean_latency = std::max(service_latency(service), kernel::duration{1});
    for (const auto* upstream : directory_.of_service(service)) {
        if (upstream->draining) {
            continue;
        }
        if (is_evacuated(*upstream)) {
            ++summary.evacuated;
            continue;
        }
        const auto state = upstream->health.state(now);
        summary.trusted += state == trust::trusted ? 1 : 0;
        summary.on_trial += state == trust::trial ? 1 : 0;
        summary.suspected += state == trust::suspected ? 1 : 0;
        summary.limited += upstream->rate_limit.applies(now) ? 1 : 0;
        summary.cold += upstream->cold.is_cold(now) ? 1 : 0;
        summary.missing += upstream->missing ? 1 : 0;
        summary.stuck += is_stuck(*upstream, mean_latency, now) ? 1 : 0;
        summary.slow += is_slow(*upstream, mean_latency, now) ? 1 : 0;
        summary.recently_used += now - upstream->last_request_at < recent_use_window ? 1 : 0;
        const bool unused = now - upstream->last_use() >= recent_use_window;
        summary.left_unused += state == trust::trusted && unused && is_overdue(*upstream, now) ? 1 : 0;
        summary.in_flight += upstream->in_flight.size();
    }
    summary.results = results_.local_counts(service, now);
    summary.strained = results_.is_strained(service, now);
    return summary;
}

// One trial serves all hosts, which report its result to each other, so they take turns: the first one as soon as the
// upstream may be tried, each further one some time later. The order changes with each ejection, so that a host that
// cannot reach the upstream is not always the first. Standby hosts come last.
bool load_balancer::may_be_tried(const tracked_upstream& upstream, bool released,
                                 const selection_state& selection) const
{
    const auto delay =
        released ? minimum_ejection_time : (selection.is_repeatable_trial() ? repeatable_trial_delay : trial_delay);
    const auto turn = selection.now - upstream.health.suspected_since() - delay;
    if (turn < kernel::duration::zero()) {
        return false;
    }
    const auto place = place_for(upstream, upstream.health.ejections());
    return turn >= (place ? static_cast<std::int64_t>(place->index) : standby_turn) * trial_turn_time;
}

std::optional<active_position> load_balancer::place_for(const tracked_upstream& upstream, std::uint64_t seed) const
{
    if (!active_position_) {
        return std::nullopt;
    }
    const auto hosts = active_position_->hosts;
    const auto& name = upstream.record.id.value();
    const auto first = ::XXH64(name.data(), name.size(), seed) % hosts;
    return active_position{(active_position_->index + hosts - first) % hosts, hosts};
}

bool load_balancer::is_evacuated(const tracked_upstream& upstream) const
{
    return evacuations_ != nullptr && evacuations_->contains(upstream.record.data_centre);
}

bool load_balancer::is_evacuated(const kernel::service_name& service) const
{
    const auto& upstreams = directory_.of_service(service);
    const bool any_evacuated = std::any_of(upstreams.begin(), upstreams.end(), [this](const auto* upstream) {
        return !upstream->draining && is_evacuated(*upstream);
    });
    return any_evacuated && std::all_of(upstreams.begin(), upstreams.end(), [this](const auto* upstream) {
               return upstream->draining || is_evacuated(*upstream);
           });
}

bool load_balancer::is_open(const tracked_upstream& upstream, kernel::time_point now) const
{
    return !upstream.draining && !is_evacuated(upstream) && now >= upstream.closed_until;
}

bool load_balancer::is_available(const tracked_upstream& upstream, kernel::time_point now) const
{
    if (!is_open(upstream, now)) {
        return false;
    }
    if (is_cold_limited(upstream, now)) {
        const auto wait = cold_start_limit_.time_until_request(upstream.record.service, upstream.record.id,
                                                               upstream.last_request_at, now);
        if (!wait || *wait > kernel::duration::zero()) {
            return false;
        }
    }
    if (!upstream.rate_limit.applies(now)) {
        return true;
    }
    const auto place = place_for(upstream, rate_limit_seed);
    return place && upstream.rate_limit.allows(*place, upstream.last_request_at, now);
}

// A request waits for its share of a cold upstream as for a free slot.
bool load_balancer::awaits_cold_share(const tracked_upstream& upstream, kernel::time_point now) const
{
    return is_open(upstream, now) && is_cold_limited(upstream, now) &&
           cold_start_limit_
               .time_until_request(upstream.record.service, upstream.record.id, upstream.last_request_at, now)
               .has_value();
}

bool load_balancer::is_cold_limited(const tracked_upstream& upstream, kernel::time_point now) const
{
    return upstream.cold.is_cold(now) && cold_start_limit_.applies_to(upstream.record.service);
}

load_balancer::candidate_lists load_balancer::classify(const std::vector<tracked_upstream*>& upstreams,
                                                       const selection_state& selection) const
{
    candidate_lists lists;
    const auto now = selection.now;
    const auto released = released_early(
        upstreams, selection.strained ? strained_maximum_ejected_fraction : maximum_ejected_fraction, now);
    for (auto* upstream : upstreams) {
        const bool is_local = upstream->record.data_centre == local_data_centre_;
        auto state = trust_of(*upstream, selection.mean_latency, now);
        const bool is_last_resort = upstream->missing || is_stuck(*upstream, selection.mean_latency, now);
        // Each host finds out by itself whether it can connect again; only trials of ejected upstreams go by turns.
        const bool may_connect = state == trust::trial || !upstream->health.is_unreachable();
        if (upstream->health.is_ejected() && !is_last_resort) {
            const bool is_turn = may_be_tried(*upstream, released.contains(upstream->record.id), selection);
            state = may_connect && is_turn ? trust::trial : trust::suspected;
        }
        if (state == trust::trusted) {
            lists.trusted_in_flight += upstream->in_flight.size();
            lists.trusted_slots += upstream->record.slots;
            lists.local_in_flight += is_local ? upstream->in_flight.size() : 0;
            lists.local_slots += is_local ? upstream->record.slots : 0;
        }
        if (selection.request.excluded.contains(upstream->record.id)) {
            continue;
        }
        const auto limit = state == trust::trial ? 1 : request_limit(*upstream);
        if (upstream->in_flight.size() >= limit) {
            lists.some_at_limit = lists.some_at_limit || state != trust::suspected;
            lists.local_at_limit = lists.local_at_limit || (is_local && state == trust::trusted);
            continue;
        }
        auto& candidates =
            state == trust::trusted ? lists.trusted : (state == trust::trial ? lists.on_trial : lists.suspected);
        candidates.push_back({upstream, cost_of(*upstream, selection)});
    }
    return lists;
}

// Requests in an upstream's queue delay all later ones, also those of other hosts and those with little time left. All
// hosts together therefore keep these queues short: each host uses the part of the service that corresponds to its
// callers' requests, and the others wait in its own queue, which is ordered by priority. One request more per host
// keeps slots in use while the shares change. Upstreams on trial do not count: they have a limit of their own.
bool load_balancer::is_at_service_limit(const kernel::service_name& service, const candidate_lists& candidates,
                                        kernel::duration mean_latency, kernel::time_point now) const
{
    if (candidates.trusted_in_flight < minimum_service_limit) {
        return false;
    }
    const double capacity = candidates.trusted_slots * (1 + upstream_queue_time / seconds{mean_latency});
    const double share = results_.local_share(service, now);
    const double factor = limit_factor_ ? limit_factor_(service, now) : 1;
    return static_cast<double>(candidates.trusted_in_flight) >= factor * share * capacity + 1;
}

// The same limit for the requests of this data centre at its own upstreams. Without it, the requests that may not leave
// would fill the queues of the local upstreams up to the part of all data centres.
bool load_balancer::is_at_local_limit(const candidate_lists& candidates, const spillover_decision& decision,
                                      const selection_state& selection) const
{
    const bool may_leave = std::any_of(candidates.trusted.begin(), candidates.trusted.end(), [&](const auto& entry) {
        const auto& data_centre = entry.upstream->record.data_centre;
        return data_centre != local_data_centre_ && decision.admits_overflow(data_centre);
    });
    if (may_leave || candidates.local_slots == 0 || candidates.local_in_flight < minimum_service_limit) {
        return false;
    }
    const double capacity = candidates.local_slots * (1 + upstream_queue_time / seconds{selection.mean_latency});
    const double share = spillover_.share_of_data_centre(selection.request.service, selection.now);
    return static_cast<double>(candidates.local_in_flight) >= share * capacity + 1;
}

tl::expected<tracked_upstream*, selection_error> load_balancer::choose(const selection_request& request,
                                                                       kernel::time_point now)
{
    const auto chosen = find_upstream(request, now);
    if (chosen) {
        spillover_.record_sent(request.service, (*chosen)->record.data_centre);
    }
    return chosen;
}

tl::expected<tracked_upstream*, selection_error> load_balancer::find_upstream(const selection_request& request,
                                                                              kernel::time_point now)
{
    auto upstreams = directory_.of_service(request.service);
    const bool cold_share_awaited = std::any_of(upstreams.begin(), upstreams.end(), [&](const auto* upstream) {
        return !request.excluded.contains(upstream->record.id) && awaits_cold_share(*upstream, now);
    });
    std::erase_if(upstreams, [this, now](const auto* upstream) { return !is_available(*upstream, now); });
    const auto mean_latency = std::max(service_latency(request.service), kernel::duration{1});
    const selection_state selection{request, mean_latency, results_.is_strained(request.service, now), now};
    auto candidates = classify(upstreams, selection);
    // A failed trial of a repeatable request costs its caller little. Only every second such request is a trial, so
    // that the trusted upstreams also receive requests.
    const bool may_be_trial = selection.is_repeatable_trial() && ++trial_candidates_ % 2 == 0;
    if (may_be_trial && !candidates.on_trial.empty()) {
        return cheapest(candidates.on_trial);
    }
    const auto& decision = spillover_.decide(
        request.service, [&] { return healthy_slots(request.service, now); }, now);
    if (!candidates.trusted.empty() && (is_at_service_limit(request.service, candidates, mean_latency, now) ||
                                        is_at_local_limit(candidates, decision, selection))) {
        return tl::unexpected{selection_error::all_at_limit};
    }
    if (auto* chosen = unused_longest(candidates.trusted, selection)) {
        return chosen;
    }
    candidates.trusted.insert(candidates.trusted.end(), candidates.on_trial.begin(), candidates.on_trial.end());
    candidates.local_at_limit = candidates.local_at_limit || cold_share_awaited;
    if (auto* chosen = choose_placed(candidates, request, decision)) {
        return chosen;
    }
    if (candidates.some_at_limit || cold_share_awaited) {
        return tl::unexpected{selection_error::all_at_limit};
    }
    if (auto* chosen = least_suspected(candidates.suspected, now)) {
        return chosen;
    }
    return tl::unexpected{selection_error::none_available};
}

// Upstreams of the least cost get requests in turn. One that costs more, because it has just started or because no host
// of its data centre has callers, would be left without work for as long as the others have free slots.
tracked_upstream* load_balancer::unused_longest(const std::vector<candidate>& candidates,
                                                const selection_state& selection)
{
    const auto least = std::min_element(candidates.begin(), candidates.end(),
                                        [](const auto& left, const auto& right) { return left.cost < right.cost; });
    tracked_upstream* found = nullptr;
    for (const auto& entry : candidates) {
        auto& upstream = *entry.upstream;
        const bool avoided = selection.now < upstream.busy_until || is_avoided_as_slow(upstream, selection);
        if (entry.cost <= least->cost || avoided || !upstream.in_flight.empty() ||
            !is_overdue(upstream, selection.now)) {
            continue;
        }
        if (found == nullptr || upstream.last_request_at < found->last_request_at) {
            found = &upstream;
        }
    }
    return found;
}

bool load_balancer::is_overdue(const tracked_upstream& upstream, kernel::time_point now)
{
    return now - upstream.last_use() >= longest_unused_time &&
           serving_order_.is_first(upstream.record, upstream.health.unreachable_hosts(now), now);
}

tracked_upstream* load_balancer::least_suspected(const std::vector<candidate>& candidates, kernel::time_point now)
{
    const auto found =
        std::min_element(candidates.begin(), candidates.end(), [now](const auto& left, const auto& right) {
            const auto& left_health = left.upstream->health;
            const auto& right_health = right.upstream->health;
            return std::pair{left_health.is_unreachable(), left_health.suspicion(now)} <
                   std::pair{right_health.is_unreachable(), right_health.suspicion(now)};
        });
    return found == candidates.end() ? nullptr : found->upstream;
}

kernel::duration load_balancer::time_until_open(const kernel::service_name& service, kernel::time_point now) const
{
    std::optional<kernel::time_point> first;
    for (const auto* upstream : directory_.of_service(service)) {
        if (!upstream->draining && !is_evacuated(*upstream)) {
            first = std::min(first.value_or(upstream->closed_until), upstream->closed_until);
        }
    }
    return first ? std::max(kernel::duration::zero(), *first - now) : kernel::duration::zero();
}

std::size_t load_balancer::requests_in_flight(const kernel::service_name& service) const
{
    std::size_t count = 0;
    for (const auto* upstream : directory_.of_service(service)) {
        count += upstream->in_flight.size();
    }
    return count;
}

kernel::duration load_balancer::service_latency(const kernel::service_name& service) const
{
    kernel::duration sum{};
    int count = 0;
    for (const auto* upstream : directory_.of_service(service)) {
        if (upstream->latency > kernel::duration::zero()) {
            sum += upstream->latency;
            ++count;
        }
    }
    return count == 0 ? assumed_latency : sum / count;
}

} // namespace wisterialane::proxy
