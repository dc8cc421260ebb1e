#include "libraries/proxy/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace wisterialane::proxy {
namespace {

using seconds = std::chrono::duration<double>;

constexpr double suspicion_threshold = 2;
constexpr double maximum_suspicion = 6;
/// A sound upstream breaks almost no exchange, so that one is enough.
constexpr double broken_weight = 3;
/// Sound upstreams answer about one request in a hundred with an error of their own.
constexpr double error_weight = 1.2;
constexpr double shed_weight = 0.3;
constexpr double good_weight = 1;
/// Suspicion halves in this time.
constexpr seconds suspicion_half_life{4};
constexpr kernel::duration first_ban = std::chrono::milliseconds{4000};
constexpr kernel::duration maximum_ban = std::chrono::seconds{10};
/// After this time without a failure the next ban is a first one again.
constexpr kernel::duration ban_memory = std::chrono::seconds{10};

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

bool should_share_evidence(exchange_outcome outcome, bool callers_are_sent_here)
{
    switch (outcome) {
    case exchange_outcome::good:
    case exchange_outcome::shed:
    case exchange_outcome::neutral:
        return false;
    case exchange_outcome::timed_out:
        return callers_are_sent_here;
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
    const bool was_tried = suspected_ && now - suspected_since() >= minimum_ejection_time;
    if (outcome == exchange_outcome::good) {
        if (was_tried) {
            suspected_ = false;
            suspicion_ = 0;
        }
        return;
    }
    if ((was_tried && outcome != exchange_outcome::shed) || (!suspected_ && suspicion_ >= suspicion_threshold)) {
        suspect(now);
    }
}

void upstream_health::suspect(kernel::time_point now)
{
    const bool recent = ban_ > kernel::duration::zero() && now - suspected_until_ < ban_memory;
    ban_ = recent ? std::min(maximum_ban, 2 * ban_) : first_ban;
    suspected_ = true;
    suspected_until_ = now + ban_;
}

trust upstream_health::state(kernel::time_point now) const
{
    if (!suspected_) {
        return trust::trusted;
    }
    return now < suspected_until_ ? trust::suspected : trust::trial;
}

double upstream_health::suspicion(kernel::time_point now) const
{
    const auto elapsed = std::max(seconds{0}, seconds{now - updated_});
    return suspicion_ * std::exp2(-elapsed / suspicion_half_life);
}

} // namespace wisterialane::proxy
