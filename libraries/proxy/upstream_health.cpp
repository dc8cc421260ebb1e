#include "libraries/proxy/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace wisterialane::proxy {
namespace {

using seconds = std::chrono::duration<double>;

constexpr double suspicion_threshold = 2;
constexpr double maximum_suspicion = 6;
/// Healthy upstreams break almost no exchange, so one is enough for suspicion.
constexpr double broken_weight = 3;
/// Healthy upstreams answer about 1% of their requests with an error, so one alone is not enough.
constexpr double error_weight = 1.2;
constexpr double shed_weight = 0.3;
constexpr double good_weight = 1;
constexpr seconds suspicion_half_life{4};
/// So many other hosts must fail to connect for this host to take the upstream as unreachable.
constexpr std::size_t required_unreachable_reports = 2;
/// A good answer that is younger contradicts other hosts' reports that the upstream is unreachable or silent; so long
/// such a report is open to contradiction.
constexpr kernel::duration good_answer_lifetime = std::chrono::milliseconds{4000};

double weight_of(exchange_outcome outcome)
{
    switch (outcome) {
    case exchange_outcome::good:
        return -good_weight;
    case exchange_outcome::error:
        return error_weight;
    case exchange_outcome::shed:
        return shed_weight;
    case exchange_outcome::broken:
    case exchange_outcome::timed_out:
        return broken_weight;
    case exchange_outcome::connect_failed:
    case exchange_outcome::neutral:
        break;
    }
    return 0;
}

} // namespace

std::string_view to_name(exchange_outcome outcome)
{
    switch (outcome) {
    case exchange_outcome::good:
        return "good";
    case exchange_outcome::error:
        return "error";
    case exchange_outcome::shed:
        return "shed";
    case exchange_outcome::connect_failed:
        return "connect_failed";
    case exchange_outcome::broken:
        return "broken";
    case exchange_outcome::timed_out:
        return "silent";
    case exchange_outcome::neutral:
        break;
    }
    return "neutral";
}

bool should_share_evidence(exchange_outcome outcome, bool unexpected, bool is_active_host)
{
    switch (outcome) {
    case exchange_outcome::shed:
    case exchange_outcome::neutral:
        return false;
    case exchange_outcome::good:
        return unexpected;
    case exchange_outcome::timed_out:
        return is_active_host;
    case exchange_outcome::error:
    case exchange_outcome::connect_failed:
    case exchange_outcome::broken:
        break;
    }
    return true;
}

std::string_view to_name(trust state)
{
    switch (state) {
    case trust::trusted:
        return "trusted";
    case trust::trial:
        return "trial";
    case trust::suspected:
        break;
    }
    return "suspected";
}

void upstream_health::record(exchange_outcome outcome, kernel::time_point now)
{
    switch (outcome) {
    case exchange_outcome::connect_failed:
        unreachable_since_ = now;
        unreachable_by_reports_ = false;
        return;
    case exchange_outcome::good:
        record_good_answer(now);
        [[fallthrough]];
    case exchange_outcome::error:
    case exchange_outcome::shed:
        unreachable_since_.reset();
        break;
    case exchange_outcome::broken:
    case exchange_outcome::timed_out:
    case exchange_outcome::neutral:
        break;
    }
    record_answers(outcome, now);
}

void upstream_health::record_report(const kernel::host_name& from, exchange_outcome outcome, kernel::time_point now)
{
    if (outcome == exchange_outcome::connect_failed) {
        record_unreachable_report(from, now);
        return;
    }
    if (outcome == exchange_outcome::timed_out) {
        disputed_at_ = now;
        // The other host got no answer, but a host did: the path between them may be at fault.
        if (has_recent_good_answer(now)) {
            return;
        }
    }
    if (outcome == exchange_outcome::good) {
        record_good_answer(now);
    }
    const bool was_suspected = suspected_;
    record_answers(outcome, now);
    if (outcome == exchange_outcome::timed_out && suspected_ && !was_suspected) {
        suspected_by_report_ = true;
    }
}

void upstream_health::record_unreachable_report(const kernel::host_name& from, kernel::time_point now)
{
    std::erase_if(unreachable_reports_, [now](const auto& report) { return now - report.second > unreachable_time; });
    unreachable_reports_[from] = now;
    disputed_at_ = now;
    // Nobody has recent good answers of an ejected upstream; the hosts' trials decide there.
    if (suspected_ || unreachable_since_ || has_recent_good_answer(now) ||
        unreachable_reports_.size() < required_unreachable_reports) {
        return;
    }
    unreachable_since_ = now;
    unreachable_by_reports_ = true;
}

void upstream_health::record_good_answer(kernel::time_point now)
{
    last_good_at_ = now;
    disputed_at_.reset();
    unreachable_reports_.clear();
    if (unreachable_by_reports_) {
        unreachable_since_.reset();
    }
    if (suspected_by_report_) {
        suspected_by_report_ = false;
        suspected_ = false;
        suspicion_ = 0;
    }
}

void upstream_health::record_answers(exchange_outcome outcome, kernel::time_point now)
{
    if (outcome == exchange_outcome::neutral) {
        return;
    }
    suspicion_ = std::clamp(suspicion(now) + weight_of(outcome), 0.0, maximum_suspicion);
    updated_ = now;
    const bool had_trial = suspected_ && now - suspected_since_ >= minimum_ejection_time;
    if (outcome == exchange_outcome::good) {
        if (had_trial) {
            suspected_ = false;
            suspicion_ = 0;
        }
        return;
    }
    if ((had_trial && outcome != exchange_outcome::shed) || (!suspected_ && suspicion_ >= suspicion_threshold)) {
        eject(now);
    }
}

void upstream_health::eject(kernel::time_point now)
{
    suspected_ = true;
    suspected_by_report_ = false;
    suspected_since_ = now;
    ++ejections_;
}

trust upstream_health::state(kernel::time_point now) const
{
    if (unreachable_since_ && now - *unreachable_since_ < unreachable_time) {
        return trust::suspected;
    }
    if (suspected_) {
        return now - suspected_since_ < trial_delay ? trust::suspected : trust::trial;
    }
    return unreachable_since_ ? trust::trial : trust::trusted;
}

bool upstream_health::is_disputed(kernel::time_point now) const
{
    return disputed_at_ && now - *disputed_at_ < good_answer_lifetime;
}

bool upstream_health::has_recent_good_answer(kernel::time_point now) const
{
    return last_good_at_ && now - *last_good_at_ < good_answer_lifetime;
}

std::vector<kernel::host_name> upstream_health::unreachable_hosts(kernel::time_point now) const
{
    std::vector<kernel::host_name> hosts;
    for (const auto& [host, reported_at] : unreachable_reports_) {
        if (now - reported_at <= unreachable_time) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

double upstream_health::suspicion(kernel::time_point now) const
{
    const auto elapsed = std::max(seconds{0}, seconds{now - updated_});
    return suspicion_ * std::exp2(-elapsed / suspicion_half_life);
}

} // namespace wisterialane::proxy
