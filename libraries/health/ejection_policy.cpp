#include "libraries/health/ejection_policy.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace wisterialane::health {
namespace {

/// A healthy upstream is expected to answer badly at most this often.
constexpr double ordinary_bad_share = 0.02;
/// A grey upstream answers badly more often than the others by this share; smaller faults take longer to detect.
constexpr double grey_increase = 0.28;
/// With more bad answers elsewhere there is nothing left to compare with.
constexpr double highest_comparable_share = 0.6;
/// ln(20,000). Wald's bound on false verdicts for an upstream that is bad in `ordinary_bad_share` of its answers;
/// far fewer at the usual shares.
constexpr double verdict_threshold = 9.9;
/// No single host contributes more than this part of a verdict while others serve the upstream.
constexpr double largest_part_of_one_host = 0.7;
/// Requests of one host that queue up together make several answers slow at once.
constexpr double largest_part_of_one_delta = 0.4;
/// How long a fault is supposed to last at least when it is judged. Outcomes of a reporter that was not heard for
/// longer weigh less, because most of them are older.
constexpr kernel::duration relevant_time = std::chrono::seconds{1};
/// A suspicion must last this long, because requests that queue behind a few long ones are slow together and say
/// nothing about the upstream afterwards.
constexpr kernel::duration shortest_suspicion = std::chrono::milliseconds{400};
/// Bounds the evidence that later good answers must outweigh.
constexpr double largest_suspicion = 1.2 * verdict_threshold;
constexpr kernel::duration recent_time = std::chrono::seconds{1};
constexpr kernel::duration ordinary_time = std::chrono::seconds{30};
/// A host that reported outcomes on an upstream within this time serves it.
constexpr kernel::duration serving_time = std::chrono::seconds{30};
/// An ejection within this time after the last one, or twice its length, is a relapse.
constexpr kernel::duration relapse_time = std::chrono::minutes{1};
constexpr kernel::duration cold_time = std::chrono::seconds{5};
/// Load share of an upstream whose ejection the floor forbids.
constexpr double withheld_weight = 0.25;
/// Suspicion below this part of the threshold is noise.
constexpr double suspect_part = 0.15;

double fade_factor(kernel::duration elapsed, kernel::duration time_constant)
{
    return std::exp(-static_cast<double>(elapsed.count()) / static_cast<double>(time_constant.count()));
}

kernel::duration doubled(kernel::duration first, unsigned times, kernel::duration longest)
{
    auto result = first;
    for (unsigned count = 0; count < times && result < longest; ++count) {
        result *= 2;
    }
    return std::min(result, longest);
}

// The most suspect first; names decide between equals, so that the order does not depend on hashes.
void sort_by_suspicion(std::vector<std::pair<double, kernel::upstream_name>>& list)
{
    std::sort(list.begin(), list.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : left.second.value() < right.second.value();
    });
}

} // namespace

void ejection_policy::fading_counts::fade(double factor)
{
    good *= factor;
    bad *= factor;
}

std::vector<upstream_transition> ejection_policy::configure(const service_definition& definition,
                                                            kernel::time_point now)
{
    const bool is_first = upstreams_.empty();
    floor_percent_ = definition.floor_percent;
    std::unordered_map<kernel::upstream_name, upstream_state> next;
    for (const auto& upstream : definition.upstreams) {
        auto& state = next[upstream.name];
        if (auto found = upstreams_.find(upstream.name); found != upstreams_.end()) {
            state = std::move(found->second);
        }
        else {
            // Upstreams that exist when the host starts are not new.
            state.added = is_first ? now - cold_time : now;
            state.since = now;
            state.until = now;
        }
        state.slots = upstream.slots;
        state.intake = upstream.intake;
    }
    upstreams_ = std::move(next);
    std::vector<upstream_transition> transitions;
    reinstate_for_floor(now, transitions);
    return transitions;
}

std::vector<upstream_transition> ejection_policy::set_intake(const kernel::upstream_name& name, upstream_intake intake,
                                                             kernel::time_point now)
{
    std::vector<upstream_transition> transitions;
    const auto found = upstreams_.find(name);
    if (found == upstreams_.end() || found->second.intake == intake) {
        return transitions;
    }
    found->second.intake = intake;
    if (intake == upstream_intake::leaving) {
        transitions.push_back({health_event::upstream_leaving, name, 0, 0, 0, {}});
    }
    reinstate_for_floor(now, transitions);
    return transitions;
}

void ejection_policy::add(const evidence_delta& delta)
{
    const auto found = upstreams_.find(delta.upstream);
    if (found == upstreams_.end()) {
        return;
    }
    const double relevance = delta.span <= relevant_time
                                 ? 1.0
                                 : static_cast<double>(relevant_time.count()) / static_cast<double>(delta.span.count());
    auto& state = found->second;
    const auto good = static_cast<double>(delta.good);
    const auto bad = static_cast<double>(delta.bad);
    state.batch.push_back({delta.reporter, good + bad, bad, relevance});
    state.batch_total.good += good;
    state.batch_total.bad += bad;
    batch_open_ = true;
}

std::vector<upstream_transition> ejection_policy::advance(kernel::time_point now)
{
    std::vector<upstream_transition> transitions;
    if (now - batch_started_ >= batch_time) {
        if (batch_open_) {
            judge_batch(now, transitions);
        }
        finish_batch(now);
    }
    for (auto& [name, state] : upstreams_) {
        if (now < state.until) {
            continue;
        }
        if (state.condition == upstream_condition::ejected || state.condition == upstream_condition::avoided) {
            begin_return(name, state, now, transitions);
        }
        else if (state.condition == upstream_condition::returning) {
            step_return(name, state, now, transitions);
        }
    }
    return transitions;
}

void ejection_policy::judge_batch(kernel::time_point now, std::vector<upstream_transition>& transitions)
{
    std::vector<std::pair<double, kernel::upstream_name>> indictments;
    for (auto& [name, state] : upstreams_) {
        for (const auto& part : state.batch) {
            state.reporters_heard[part.reporter] = now;
        }
        std::erase_if(state.reporters_heard, [&](const auto& entry) { return now - entry.second > serving_time; });
        if (state.condition == upstream_condition::healthy || state.condition == upstream_condition::returning) {
            update_suspicion(name, state, now);
            if (indicted(state, now)) {
                indictments.emplace_back(state.suspicion, name);
            }
            else {
                state.withheld = false;
            }
        }
    }
    // The worst first, because the floor may not allow all.
    sort_by_suspicion(indictments);
    for (const auto& [suspicion, name] : indictments) {
        eject(name, upstreams_[name], now, transitions);
    }
}

void ejection_policy::update_suspicion(const kernel::upstream_name& name, upstream_state& state, kernel::time_point now)
{
    if (state.batch.empty()) {
        return;
    }
    const double expected = ordinary_share(name);
    if (expected > highest_comparable_share) {
        return;
    }
    if (state.suspicion <= 0) {
        state.suspected_since = now;
        state.contributions.clear();
        state.good = 0;
        state.bad = 0;
    }
    for (const auto& part : state.batch) {
        // Poisson likelihood ratio of a rate that is raised during the relevant share of the time.
        const double raised = grey_increase * part.relevance;
        const double increase = std::min(part.bad * std::log1p(raised / expected) - part.total * raised,
                                         largest_part_of_one_delta * verdict_threshold);
        state.suspicion += increase;
        state.contributions[part.reporter] += increase;
        state.good += static_cast<std::uint64_t>(std::lround(part.total - part.bad));
        state.bad += static_cast<std::uint64_t>(std::lround(part.bad));
    }
    state.suspicion = std::clamp(state.suspicion, 0.0, largest_suspicion);
}

bool ejection_policy::indicted(const upstream_state& state, kernel::time_point now) const
{
    if (state.suspicion < verdict_threshold || now - state.suspected_since < shortest_suspicion) {
        return false;
    }
    if (state.reporters_heard.size() <= 1) {
        return true;
    }
    double total = 0;
    for (const auto& [reporter, value] : state.contributions) {
        total += std::clamp(value, 0.0, largest_part_of_one_host * verdict_threshold);
    }
    return total >= verdict_threshold;
}

double ejection_policy::bad_share_of_others(const kernel::upstream_name& name, counts_member counts,
                                            double prior_weight) const
{
    struct other_share {
        double share = 0;
        double good = 0;
        double bad = 0;
    };

    std::vector<other_share> others;
    for (const auto& [other, state] : upstreams_) {
        const auto& values = state.*counts;
        const double total = values.good + values.bad;
        if (other != name && total > 0 && state.condition != upstream_condition::ejected &&
            state.condition != upstream_condition::avoided) {
            others.push_back({values.bad / total, values.good, values.bad});
        }
    }
    // The worst third is left out, so that grey upstreams do not excuse one another.
    std::sort(others.begin(), others.end(),
              [](const auto& left, const auto& right) { return left.share < right.share; });
    others.resize(others.size() - others.size() / 3);
    double good = prior_weight * (1 - ordinary_bad_share);
    double bad = prior_weight * ordinary_bad_share;
    for (const auto& other : others) {
        good += other.good;
        bad += other.bad;
    }
    return bad / (good + bad);
}

double ejection_policy::ordinary_share(const kernel::upstream_name& name) const
{
    // The weights of the prior are in outcomes; with fewer outcomes the measured share is mostly chance.
    const double in_batch = bad_share_of_others(name, &upstream_state::batch_total, 3);
    const double recent = bad_share_of_others(name, &upstream_state::recent, 5);
    const double ordinary = bad_share_of_others(name, &upstream_state::ordinary, 20);
    return std::max({ordinary_bad_share, in_batch, recent, 2 * ordinary - ordinary_bad_share});
}

void ejection_policy::finish_batch(kernel::time_point now)
{
    const auto elapsed = now - batch_started_;
    const double recent_factor = fade_factor(elapsed, recent_time);
    const double ordinary_factor = fade_factor(elapsed, ordinary_time);
    for (auto& [name, state] : upstreams_) {
        state.recent.fade(recent_factor);
        state.ordinary.fade(ordinary_factor);
        state.recent.good += state.batch_total.good;
        state.recent.bad += state.batch_total.bad;
        state.ordinary.good += state.batch_total.good;
        state.ordinary.bad += state.batch_total.bad;
        state.batch.clear();
        state.batch_total = {};
    }
    batch_started_ = now;
    batch_open_ = false;
}

void ejection_policy::eject(const kernel::upstream_name& name, upstream_state& state, kernel::time_point now,
                            std::vector<upstream_transition>& transitions)
{
    const bool counts_as_usable = is_usable(state);
    if (usable_slots() - (counts_as_usable ? state.slots : 0) < required_slots()) {
        if (!state.withheld) {
            state.withheld = true;
            transitions.push_back({health_event::ejection_withheld, name, state.good, state.bad,
                                   state.contributions.size(), kernel::duration{}});
        }
        return;
    }
    const bool is_relapse = state.ejections > 0 && now - state.until < std::max(relapse_time, 2 * state.last_ejection);
    state.ejections = is_relapse ? state.ejections + 1 : 1;
    state.last_ejection = doubled(first_ejection, state.ejections - 1, longest_ejection);
    state.condition = upstream_condition::ejected;
    state.since = now;
    state.until = now + state.last_ejection;
    state.withheld = false;
    transitions.push_back(
        {health_event::upstream_ejected, name, state.good, state.bad, state.contributions.size(), state.last_ejection});
}

std::vector<upstream_transition> ejection_policy::connect_failed(const kernel::upstream_name& name,
                                                                 kernel::time_point now)
{
    std::vector<upstream_transition> transitions;
    const auto found = upstreams_.find(name);
    if (found == upstreams_.end() || !is_usable(found->second)) {
        return transitions;
    }
    auto& state = found->second;
    // What was counted before it went away does not speak for the process that comes back.
    restart_evidence(name, state);
    if (usable_slots() - state.slots < required_slots()) {
        return transitions;
    }
    const auto lasts = doubled(first_avoidance, state.failed_connects, longest_avoidance);
    ++state.failed_connects;
    state.condition = upstream_condition::avoided;
    state.since = now;
    state.until = now + lasts;
    transitions.push_back({health_event::upstream_avoided, name, 0, 0, 1, lasts});
    return transitions;
}

void ejection_policy::answered(const kernel::upstream_name& name)
{
    if (const auto found = upstreams_.find(name); found != upstreams_.end()) {
        found->second.failed_connects = 0;
    }
}

void ejection_policy::forgive(const kernel::upstream_name& name)
{
    if (const auto found = upstreams_.find(name); found != upstreams_.end()) {
        restart_evidence(name, found->second);
    }
}

void ejection_policy::begin_return(const kernel::upstream_name& name, upstream_state& state, kernel::time_point now,
                                   std::vector<upstream_transition>& transitions)
{
    state.condition = upstream_condition::returning;
    state.step = 1;
    state.since = now;
    state.until = now + return_step_time;
    restart_evidence(name, state);
    transitions.push_back({health_event::upstream_returning, name, 0, 0, 0, return_steps * return_step_time});
}

void ejection_policy::step_return(const kernel::upstream_name& name, upstream_state& state, kernel::time_point now,
                                  std::vector<upstream_transition>& transitions)
{
    if (state.step < return_steps) {
        ++state.step;
        state.until = now + return_step_time;
        return;
    }
    state.condition = upstream_condition::healthy;
    state.since = now;
    transitions.push_back({health_event::upstream_restored, name, 0, 0, 0, {}});
}

void ejection_policy::restart_evidence(const kernel::upstream_name& name, upstream_state& state)
{
    state.suspicion = 0;
    state.contributions.clear();
    state.batch.clear();
    state.batch_total = {};
    state.recent = {};
    state.ordinary = {};
    state.good = 0;
    state.bad = 0;
    state.withheld = false;
    restarted_.insert(name);
}

void ejection_policy::reinstate_for_floor(kernel::time_point now, std::vector<upstream_transition>& transitions)
{
    while (usable_slots() < required_slots()) {
        upstream_state* first = nullptr;
        const kernel::upstream_name* first_name = nullptr;
        for (auto& [name, state] : upstreams_) {
            const bool is_out =
                state.condition == upstream_condition::ejected || state.condition == upstream_condition::avoided;
            if (is_out && (first == nullptr || state.until < first->until)) {
                first = &state;
                first_name = &name;
            }
        }
        if (first == nullptr) {
            return;
        }
        begin_return(*first_name, *first, now, transitions);
    }
}

bool ejection_policy::is_usable(const upstream_state& state) const
{
    return state.intake == upstream_intake::open && state.condition != upstream_condition::ejected &&
           state.condition != upstream_condition::avoided;
}

bool ejection_policy::usable(const kernel::upstream_name& name) const
{
    const auto found = upstreams_.find(name);
    return found != upstreams_.end() && is_usable(found->second);
}

double ejection_policy::weight(const kernel::upstream_name& name) const
{
    const auto found = upstreams_.find(name);
    if (found == upstreams_.end() || !is_usable(found->second)) {
        return 0;
    }
    if (found->second.condition == upstream_condition::returning) {
        return static_cast<double>(found->second.step) / (return_steps + 1);
    }
    return found->second.withheld ? withheld_weight : 1;
}

bool ejection_policy::may_be_cold(const kernel::upstream_name& name, kernel::time_point now) const
{
    const auto found = upstreams_.find(name);
    if (found == upstreams_.end()) {
        return false;
    }
    const auto& state = found->second;
    return now - state.added < cold_time ||
           (state.condition == upstream_condition::returning && state.step <= return_steps / 2);
}

std::vector<kernel::upstream_name> ejection_policy::take_restarted()
{
    std::vector<kernel::upstream_name> names{restarted_.begin(), restarted_.end()};
    restarted_.clear();
    return names;
}

std::vector<kernel::upstream_name> ejection_policy::suspects(std::size_t maximum) const
{
    std::vector<std::pair<double, kernel::upstream_name>> found;
    for (const auto& [name, state] : upstreams_) {
        if (state.suspicion >= suspect_part * verdict_threshold) {
            found.emplace_back(state.suspicion, name);
        }
    }
    sort_by_suspicion(found);
    std::vector<kernel::upstream_name> names;
    for (const auto& [suspicion, name] : found) {
        if (names.size() < maximum) {
            names.push_back(name);
        }
    }
    return names;
}

bool ejection_policy::has_recent_suspect(kernel::time_point now, kernel::duration within) const
{
    return std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
        const auto& state = entry.second;
        return is_usable(state) && state.suspicion >= suspect_part * verdict_threshold &&
               now - state.suspected_since <= within;
    });
}

std::vector<upstream_status> ejection_policy::status() const
{
    std::vector<upstream_status> list;
    for (const auto& [name, state] : upstreams_) {
        list.push_back({name, state.slots, state.condition, state.intake, state.since, state.until, weight(name),
                        state.suspicion, state.good, state.bad, state.contributions.size(), state.ejections});
    }
    std::sort(list.begin(), list.end(),
              [](const auto& left, const auto& right) { return left.name.value() < right.name.value(); });
    return list;
}

unsigned ejection_policy::configured_slots() const
{
    return std::accumulate(upstreams_.begin(), upstreams_.end(), 0U,
                           [](unsigned sum, const auto& entry) { return sum + entry.second.slots; });
}

unsigned ejection_policy::usable_slots() const
{
    return std::accumulate(upstreams_.begin(), upstreams_.end(), 0U, [this](unsigned sum, const auto& entry) {
        return sum + (is_usable(entry.second) ? entry.second.slots : 0U);
    });
}

unsigned ejection_policy::required_slots() const
{
    return (configured_slots() * floor_percent_ + 99) / 100;
}

} // namespace wisterialane::health
