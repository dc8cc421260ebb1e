#include "libraries/health/upstream_evidence.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace wisterialane::health {

void upstream_evidence::set_upstreams(const std::unordered_set<kernel::upstream_name>& names)
{
    known_ = names;
    for (auto& [reporter, state] : reporters_) {
        std::erase_if(state.upstreams, [&](const auto& entry) { return !names.contains(entry.first); });
    }
}

void upstream_evidence::count(const kernel::upstream_name& upstream, std::uint64_t reporter_counters::*counter)
{
    if (known_.contains(upstream)) {
        auto& counters = reporters_[own_].upstreams[upstream];
        counters.start = basis::known;
        ++(counters.*counter);
        mark_changed(own_, upstream, counters);
    }
}

void upstream_evidence::count_good(const kernel::upstream_name& upstream)
{
    count(upstream, &reporter_counters::good);
}

void upstream_evidence::count_bad(const kernel::upstream_name& upstream)
{
    count(upstream, &reporter_counters::bad);
}

void upstream_evidence::mark_changed(const kernel::instance_id& reporter, const kernel::upstream_name& upstream,
                                     reporter_counters& copy)
{
    if (!copy.is_changed) {
        copy.is_changed = true;
        changed_.emplace_back(reporter, upstream);
    }
}

evidence_report upstream_evidence::make_report()
{
    evidence_report report{own_, ++sequence_, {}, {}};
    for (const auto& [name, counters] : reporters_[own_].upstreams) {
        report.counters.push_back({name, counters.good, counters.bad});
    }
    return report;
}

std::vector<evidence_report> upstream_evidence::relay(const std::unordered_set<kernel::upstream_name>& upstreams,
                                                      std::size_t whole) const
{
    std::vector<std::pair<kernel::time_point, const kernel::instance_id*>> order;
    for (const auto& [reporter, state] : reporters_) {
        if (reporter != own_) {
            order.emplace_back(state.heard, &reporter);
        }
    }
    std::sort(order.begin(), order.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : left.second->value() < right.second->value();
    });
    std::vector<evidence_report> reports;
    for (const auto& [heard, reporter] : order) {
        const auto& state = reporters_.at(*reporter);
        evidence_report report{*reporter, state.sequence, {}, {}};
        const bool is_whole = reports.size() < whole;
        for (const auto& [name, counters] : state.upstreams) {
            if (is_whole || upstreams.contains(name)) {
                report.counters.push_back({name, counters.good, counters.bad});
            }
        }
        if (!report.counters.empty()) {
            reports.push_back(std::move(report));
        }
    }
    return reports;
}

void upstream_evidence::merge(const evidence_report& report, kernel::time_point now)
{
    if (report.reporter == own_) {
        return;
    }
    if (!reporters_.contains(report.reporter) && reporters_.size() >= maximum_reporters) {
        remove_silent_reporters(now);
        if (reporters_.size() >= maximum_reporters) {
            return;
        }
    }
    auto& state = reporters_[report.reporter];
    if (report.sequence > state.sequence) {
        state.sequence = report.sequence;
        state.heard = now;
    }
    for (const auto& counters : report.counters) {
        if (known_.contains(counters.upstream)) {
            merge_counters(report.reporter, state.upstreams[counters.upstream], counters, now);
        }
    }
}

void upstream_evidence::merge_counters(const kernel::instance_id& reporter, reporter_counters& copy,
                                       const upstream_counters& report, kernel::time_point now)
{
    const bool is_newer = report.good > copy.good || report.bad > copy.bad;
    const bool is_first = copy.start == basis::missing;
    copy.good = std::max(copy.good, report.good);
    copy.bad = std::max(copy.bad, report.bad);
    if (is_first || now - copy.heard > maximum_span) {
        copy.taken_good = copy.good;
        copy.taken_bad = copy.bad;
        copy.start = basis::known;
        copy.span = {};
        copy.heard = now;
        mark_changed(reporter, report.upstream, copy);
    }
    else if (is_newer) {
        copy.span += now - copy.heard;
        copy.heard = now;
        mark_changed(reporter, report.upstream, copy);
    }
}

std::vector<evidence_delta> upstream_evidence::take_deltas()
{
    std::vector<evidence_delta> deltas;
    for (const auto& [reporter, name] : std::exchange(changed_, {})) {
        const auto state = reporters_.find(reporter);
        if (state == reporters_.end()) {
            continue;
        }
        const auto found = state->second.upstreams.find(name);
        if (found == state->second.upstreams.end() || !found->second.is_changed) {
            continue;
        }
        auto& copy = found->second;
        deltas.push_back({reporter, name, copy.good - copy.taken_good, copy.bad - copy.taken_bad, copy.span});
        copy.taken_good = copy.good;
        copy.taken_bad = copy.bad;
        copy.span = {};
        copy.is_changed = false;
    }
    // The hash order differs between runs; verdicts must not.
    std::sort(deltas.begin(), deltas.end(), [](const auto& left, const auto& right) {
        return std::tie(left.upstream.value(), left.reporter.value()) <
               std::tie(right.upstream.value(), right.reporter.value());
    });
    return deltas;
}

void upstream_evidence::require_fresh(const kernel::upstream_name& upstream)
{
    for (auto& [reporter, state] : reporters_) {
        const auto found = state.upstreams.find(upstream);
        if (found == state.upstreams.end()) {
            continue;
        }
        auto& copy = found->second;
        copy.taken_good = copy.good;
        copy.taken_bad = copy.bad;
        copy.span = {};
        if (reporter != own_) {
            copy.start = basis::missing;
        }
    }
}

upstream_counters upstream_evidence::counters_of(const kernel::instance_id& reporter,
                                                 const kernel::upstream_name& upstream) const
{
    const auto state = reporters_.find(reporter);
    if (state == reporters_.end()) {
        return {upstream, 0, 0};
    }
    const auto found = state->second.upstreams.find(upstream);
    return found == state->second.upstreams.end() ? upstream_counters{upstream, 0, 0}
                                                  : upstream_counters{upstream, found->second.good, found->second.bad};
}

void upstream_evidence::remove_silent_reporters(kernel::time_point now)
{
    std::erase_if(reporters_,
                  [&](const auto& entry) { return entry.first != own_ && now - entry.second.heard > maximum_span; });
}

} // namespace wisterialane::health
