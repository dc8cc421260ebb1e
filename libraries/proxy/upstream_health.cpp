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

double weight_of(exchange_outcome outcome)
{
    switch (outcome) {
    case exchange_outcome::good:
        return -good_weight;
    case exchange_outcome::error:
        return error_weight;
    case exchange_outcome::shed:
        return shed_weight;
    case exchange_outcome::connect_failed:
    case exchange_outcome::broken:
    case exchange_outcome::timed_out:
        return broken_weight;
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

bool should_share_evidence(exchange_outcome outcome, trust trust_at_start, bool is_active_host)
{
    switch (outcome) {
    case exchange_outcome::shed:
    case exchange_outcome::neutral:
        return false;
    case exchange_outcome::good:
        return trust_at_start != trust::trusted;
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
    suspected_since_ = now;
    ++ejections_;
}

trust upstream_health::state(kernel::time_point now) const
{
    if (!suspected_) {
        return trust::trusted;
    }
    return now - suspected_since_ < trial_delay ? trust::suspected : trust::trial;
}

double upstream_health::suspicion(kernel::time_point now) const
{
    const auto elapsed = std::max(seconds{0}, seconds{now - updated_});
    return suspicion_ * std::exp2(-elapsed / suspicion_half_life);
}

} // namespace wisterialane::proxy
