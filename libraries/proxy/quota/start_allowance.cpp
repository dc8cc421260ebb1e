#include "libraries/proxy/quota/start_allowance.h"

#include <algorithm>
#include <cmath>

namespace wisterialane::proxy {
namespace {

using seconds = std::chrono::duration<double>;

/// Weight of a host without admissions, in admissions. With a smaller one the shares follow the callers sooner; with a
/// greater one reports that are late matter less.
constexpr double base_weight = 0.25;
/// Time until a report of admissions has reached the other hosts: the interval between reports, the way, and a late
/// event loop.
constexpr seconds report_time{0.1};
/// Demand, in multiples of the rate, against which the reserve holds.
constexpr double demand_factor = 5;

// Whole requests of the excess that belong to the host at this place; the first ones have one more.
double whole_requests(double excess, const start_fleet& fleet)
{
    const auto total = static_cast<std::uint64_t>(std::max(0.0, excess));
    const auto each = total / fleet.hosts;
    return static_cast<double>(each + (fleet.place < total % fleet.hosts ? 1 : 0));
}

} // namespace

start_allowance::start_allowance(double rate, double excess, const start_fleet& fleet, kernel::time_point now)
    : data_centre_share_{fleet.data_centre_share()}, data_centre_rate_{rate * data_centre_share_},
      data_centre_hosts_{static_cast<double>(fleet.data_centre_hosts)},
      data_centre_tokens_{excess * data_centre_share_}, share_tokens_{whole_requests(excess, fleet)}, updated_{now}
{}

double start_allowance::share() const
{
    return (base_weight + own_admitted_) / (base_weight * data_centre_hosts_ + data_centre_admitted_);
}

// What the hosts may use together before they receive each other's reports.
double start_allowance::reserve() const
{
    return demand_factor * data_centre_rate_ * report_time.count();
}

void start_allowance::refill(kernel::time_point now)
{
    const auto elapsed = std::max(0.0, seconds{now - updated_}.count());
    data_centre_tokens_ += elapsed * data_centre_rate_;
    share_tokens_ += elapsed * data_centre_rate_ * share();
    updated_ = std::max(updated_, now);
}

bool start_allowance::can_admit(bool hears_others) const
{
    const bool informed = hears_others || level_;
    const bool plenty = informed && data_centre_tokens_ >= std::max(1.0, reserve());
    return plenty || (share_tokens_ >= 1 && (!informed || data_centre_tokens_ >= 0));
}

seconds start_allowance::wait() const
{
    return seconds{std::max(0.0, 1 - share_tokens_) / (data_centre_rate_ * share())};
}

void start_allowance::apply_level(double level, double burst)
{
    if (level_ && level >= *level_) {
        return;
    }
    const double tokens = data_centre_share_ * level * burst;
    data_centre_tokens_ = level_ ? std::min(data_centre_tokens_, tokens) : tokens;
    share_tokens_ *= level;
    level_ = level;
}

void start_allowance::record_own_admission()
{
    data_centre_tokens_ -= 1;
    share_tokens_ = std::max(0.0, share_tokens_ - 1);
    own_admitted_ += 1;
    data_centre_admitted_ += 1;
}

void start_allowance::record_neighbour_admissions(std::uint64_t requests)
{
    data_centre_tokens_ -= static_cast<double>(requests);
    data_centre_admitted_ += static_cast<double>(requests);
}

bool start_allowance::is_low() const
{
    return data_centre_tokens_ < 2 * reserve();
}

} // namespace wisterialane::proxy
