#include "libraries/health/health_monitor.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wisterialane::health {

void health_monitor::configure(const std::vector<service_definition>& services, kernel::time_point now)
{
    std::unordered_set<kernel::service_name> kept;
    std::unordered_set<kernel::upstream_name> known;
    service_names_.clear();
    for (const auto& definition : services) {
        kept.insert(definition.name);
        auto& state = services_[definition.name];
        const auto previous = std::exchange(state.definition, definition);
        for (const auto& upstream : previous.upstreams) {
            const auto is_same = [&](const auto& other) { return other.name == upstream.name; };
            if (std::none_of(definition.upstreams.begin(), definition.upstreams.end(), is_same)) {
                state.baseline.remove(upstream.name);
            }
        }
        for (const auto& upstream : state.definition.upstreams) {
            known.insert(upstream.name);
            service_names_[upstream.name] = definition.name;
        }
        auto effective = state.definition;
        for (auto& upstream : effective.upstreams) {
            upstream.intake = intake_of(upstream, now);
        }
        note(state.policy.configure(effective, now));
        state.choices.configure(effective);
    }
    std::erase_if(services_, [&](const auto& entry) { return !kept.contains(entry.first); });
    evidence_.set_upstreams(known);
    std::erase_if(pending_crashes_, [&](const auto& entry) { return !known.contains(entry.first); });
    std::erase_if(draining_until_, [&](const auto& entry) { return !known.contains(entry.first); });
    for (auto& [name, state] : services_) {
        apply_restarts(state);
    }
}

kernel::result<chosen_upstream> health_monitor::choose(const kernel::service_name& service,
                                                       const kernel::route_name& route,
                                                       const std::unordered_set<kernel::upstream_name>& excluded,
                                                       kernel::time_point now)
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return kernel::fail(health_event::service_unknown, service.value());
    }
    auto& state = found->second;
    const auto weight = [&](const kernel::upstream_name& name) { return state.policy.weight(name); };
    auto name = state.choices.choose(weight, excluded, random_, now);
    if (!name) {
        return tl::unexpected{name.error()};
    }
    state.choices.started(*name);
    const choice_handle handle{++last_handle_};
    choices_[handle] = choice{service, route, *name, phase::sending, now};
    const auto definition = std::find_if(state.definition.upstreams.begin(), state.definition.upstreams.end(),
                                         [&](const auto& upstream) { return upstream.name == *name; });
    return chosen_upstream{*name, definition->address, handle};
}

void health_monitor::request_sent(choice_handle handle, kernel::time_point now)
{
    if (const auto found = choices_.find(handle); found != choices_.end()) {
        found->second.progress = phase::waiting;
        found->second.sent = now;
    }
}

void health_monitor::answer_started(choice_handle handle)
{
    const auto found = choices_.find(handle);
    if (found != choices_.end() && found->second.progress == phase::waiting) {
        found->second.progress = phase::answering;
    }
}

void health_monitor::finish(choice_handle handle, const outcome& result, kernel::time_point now)
{
    const auto found = choices_.find(handle);
    if (found == choices_.end()) {
        return;
    }
    const auto item = std::move(found->second);
    choices_.erase(found);
    const auto state = services_.find(item.service);
    if (state == services_.end()) {
        return;
    }
    auto& service = state->second;
    service.choices.finished(item.upstream);
    switch (result.kind) {
    case outcome_kind::good:
        finish_good(service, item, result, now);
        break;
    case outcome_kind::error:
    case outcome_kind::wrong_answer:
    case outcome_kind::cut:
    case outcome_kind::response_timeout:
        finish_bad(service, item, now);
        break;
    case outcome_kind::connect_refused:
    case outcome_kind::connect_timeout:
        note(service.policy.connect_failed(item.upstream, now));
        apply_restarts(service);
        break;
    case outcome_kind::shed:
        service.choices.observe_shed(item.upstream, now);
        service.policy.answered(item.upstream);
        break;
    case outcome_kind::crashed:
        finish_crashed(item, result, now);
        break;
    case outcome_kind::cancelled:
        break;
    }
}

void health_monitor::finish_good(service_state& service, const choice& item, const outcome& result,
                                 kernel::time_point now)
{
    service.policy.answered(item.upstream);
    service.choices.observe_latency(item.upstream, result.latency, now);
    quarantine_.record_success(result.fingerprint, now);
    const auto limit = service.baseline.slow_limit(item.route, now);
    service.baseline.add(item.route, item.upstream, result.latency, now);
    if (item.progress == phase::counted) {
        return;
    }
    if (!limit || result.latency <= *limit) {
        evidence_.count_good(item.upstream);
    }
    else if (!service.policy.may_be_cold(item.upstream, now)) {
        evidence_.count_bad(item.upstream);
    }
}

void health_monitor::finish_bad(service_state& service, const choice& item, kernel::time_point now)
{
    service.choices.observe_failure(item.upstream, now);
    if (item.progress != phase::counted) {
        evidence_.count_bad(item.upstream);
    }
}

void health_monitor::finish_crashed(const choice& item, const outcome& result, kernel::time_point now)
{
    if (const auto service = services_.find(item.service); service != services_.end()) {
        service->second.choices.observe_failure(item.upstream, now);
    }
    auto& pending = pending_crashes_[item.upstream];
    if (pending.fingerprints.empty()) {
        pending.due = now + crash_delay;
    }
    pending.fingerprints.insert(result.fingerprint);
    record_crash({result.fingerprint, item.upstream}, now);
}

void health_monitor::record_crash(const crash_sighting& sighting, kernel::time_point now)
{
    if (sighting.fingerprint == 0 || quarantine_.record(sighting, now) != crash_attribution::request_newly_blamed) {
        return;
    }
    transitions_.push_back({health_event::fingerprint_quarantined, sighting.upstream, 0, 0, 0, quarantine::lifetime});
    for (const auto& upstream : quarantine_.crashed_upstreams(sighting.fingerprint)) {
        pending_crashes_.erase(upstream);
        if (auto* service = service_of(upstream)) {
            service->policy.forgive(upstream);
            apply_restarts(*service);
        }
    }
}

void health_monitor::count_due_crashes(kernel::time_point now)
{
    for (auto entry = pending_crashes_.begin(); entry != pending_crashes_.end();) {
        if (now < entry->second.due) {
            ++entry;
            continue;
        }
        const auto& fingerprints = entry->second.fingerprints;
        if (std::none_of(fingerprints.begin(), fingerprints.end(),
                         [&](auto fingerprint) { return quarantine_.is_quarantined(fingerprint, now); })) {
            evidence_.count_bad(entry->first);
        }
        entry = pending_crashes_.erase(entry);
    }
}

void health_monitor::count_overdue(kernel::time_point now)
{
    for (auto& [handle, item] : choices_) {
        if (item.progress != phase::waiting) {
            continue;
        }
        const auto found = services_.find(item.service);
        if (found == services_.end()) {
            continue;
        }
        auto& service = found->second;
        const auto limit = service.baseline.slow_limit(item.route, now);
        if (limit && now - item.sent > *limit && !service.policy.may_be_cold(item.upstream, now)) {
            item.progress = phase::counted;
            evidence_.count_bad(item.upstream);
            service.choices.observe_latency(item.upstream, now - item.sent, now);
        }
    }
}

void health_monitor::advance(kernel::time_point now)
{
    count_overdue(now);
    count_due_crashes(now);
    for (const auto& delta : evidence_.take_deltas()) {
        if (auto* service = service_of(delta.upstream)) {
            service->policy.add(delta);
        }
    }
    if (std::erase_if(draining_until_, [&](const auto& entry) { return now >= entry.second; }) > 0) {
        apply_intakes(now);
    }
    for (auto& [name, state] : services_) {
        note(state.policy.advance(now));
        apply_restarts(state);
    }
}

void health_monitor::apply_restarts(service_state& service)
{
    for (const auto& name : service.policy.take_restarted()) {
        evidence_.require_fresh(name);
        pending_crashes_.erase(name);
    }
}

void health_monitor::mark_leaving(const kernel::upstream_name& upstream, kernel::time_point now)
{
    if (service_names_.contains(upstream)) {
        draining_until_[upstream] = now + draining_time;
        apply_intakes(now);
    }
}

void health_monitor::set_leaving(const std::unordered_set<kernel::upstream_name>& upstreams, kernel::time_point now)
{
    leaving_ = upstreams;
    apply_intakes(now);
}

upstream_intake health_monitor::intake_of(const upstream_definition& upstream, kernel::time_point now) const
{
    const auto draining = draining_until_.find(upstream.name);
    const bool is_leaving = upstream.intake == upstream_intake::leaving || leaving_.contains(upstream.name) ||
                            (draining != draining_until_.end() && now < draining->second);
    return is_leaving ? upstream_intake::leaving : upstream_intake::open;
}

void health_monitor::apply_intakes(kernel::time_point now)
{
    for (auto& [name, state] : services_) {
        for (const auto& upstream : state.definition.upstreams) {
            note(state.policy.set_intake(upstream.name, intake_of(upstream, now), now));
        }
        apply_restarts(state);
    }
}

evidence_report health_monitor::make_report(kernel::time_point now)
{
    auto report = evidence_.make_report();
    report.crashes = quarantine_.sightings(now);
    return report;
}

std::vector<evidence_report> health_monitor::make_reports(kernel::time_point now)
{
    std::vector<evidence_report> reports{make_report(now)};
    std::unordered_set<kernel::upstream_name> suspects;
    for (const auto& [name, state] : services_) {
        for (auto& suspect : state.policy.suspects(suspects_relayed_per_service)) {
            suspects.insert(std::move(suspect));
        }
    }
    auto relayed = evidence_.relay(suspects, hosts_relayed);
    std::move(relayed.begin(), relayed.end(), std::back_inserter(reports));
    return reports;
}

bool health_monitor::needs_evidence(kernel::time_point now) const
{
    return std::any_of(services_.begin(), services_.end(),
                       [&](const auto& entry) { return entry.second.policy.has_recent_suspect(now, urgent_time); });
}

void health_monitor::merge_report(const evidence_report& report, kernel::time_point now)
{
    evidence_.merge(report, now);
    for (const auto& sighting : report.crashes) {
        if (service_names_.contains(sighting.upstream)) {
            record_crash(sighting, now);
        }
    }
}

bool health_monitor::is_quarantined(std::uint64_t fingerprint, kernel::time_point now) const
{
    return quarantine_.is_quarantined(fingerprint, now);
}

health_monitor::service_state* health_monitor::service_of(const kernel::upstream_name& upstream)
{
    const auto name = service_names_.find(upstream);
    if (name == service_names_.end()) {
        return nullptr;
    }
    const auto found = services_.find(name->second);
    return found == services_.end() ? nullptr : &found->second;
}

void health_monitor::note(std::vector<upstream_transition> transitions)
{
    std::move(transitions.begin(), transitions.end(), std::back_inserter(transitions_));
}

std::vector<upstream_transition> health_monitor::take_transitions()
{
    return std::exchange(transitions_, {});
}

std::vector<service_status> health_monitor::status() const
{
    std::vector<service_status> list;
    for (const auto& [name, state] : services_) {
        list.push_back({name, state.policy.configured_slots(), state.policy.usable_slots(),
                        state.policy.required_slots(), state.policy.status()});
    }
    std::sort(list.begin(), list.end(),
              [](const auto& left, const auto& right) { return left.service.value() < right.service.value(); });
    return list;
}

} // namespace wisterialane::health
