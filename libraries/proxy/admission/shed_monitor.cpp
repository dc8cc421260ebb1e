#include "libraries/proxy/admission/shed_monitor.h"

#include <algorithm>

namespace wisterialane::proxy {
namespace {

/// Sheds last for seconds, so the fraction is measured over little more than one.
constexpr std::chrono::seconds window{2};
/// With fewer requests than this in the window, the accepted fraction isn't known.
constexpr std::uint64_t minimum_requests = 8;
/// Below this accepted fraction a service counts as shedding. Single full upstreams refuse less of it.
constexpr double shedding_fraction = 0.8;
/// Accepted requests that take longer than the latency at low load by this factor have waited in an upstream's queue.
/// Hosts together let requests wait for about a service time there, which alone must not count.
constexpr double congested_factor = 2.5;
/// The latency at low load rises towards the recent one by this fraction a second, so that it follows a service that
/// has become slower within a minute or two.
constexpr double base_rise_per_update = 0.02;
constexpr kernel::duration base_update_interval = std::chrono::seconds{1};
/// Refusals of upstreams whose slots this host has filled come with load unless those with free slots refuse as well;
/// from this fraction of all refusals on they do.
constexpr double random_shed_fraction = 0.25;
/// Multiplicative decrease of the limit, at most once in the interval: the responses to what was sent before a decrease
/// say nothing about its effect.
constexpr double decrease_factor = 0.8;
constexpr kernel::duration minimum_decrease_interval = std::chrono::milliseconds{200};
/// The limit never falls below this part, so that the host notices when there is room again.
constexpr double minimum_factor = 0.25;
/// Additive increase of the factor.
constexpr double increase_per_second = 0.1;

} // namespace

void shed_monitor::record_accepted(kernel::duration latency, kernel::time_point now)
{
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(latency).count();
    accepted_.add(now);
    accepted_latency_us_.add(now, static_cast<std::uint64_t>(std::max<std::int64_t>(0, microseconds)));
    update_base_latency(now);
}

void shed_monitor::record_shed(const observed_shed& shed, kernel::time_point now)
{
    shed_.add(now);
    if (shed.in_flight < shed.slots) {
        shed_with_free_slots_.add(now);
    }
    if (comes_with_load(shed, now)) {
        decrease_limit(now);
    }
}

bool shed_monitor::comes_with_load(const observed_shed& shed, kernel::time_point now) const
{
    if (is_congested(now)) {
        return true;
    }
    const auto free = static_cast<double>(shed_with_free_slots_.count(now, window));
    const auto all = static_cast<double>(shed_.count(now, window));
    return shed.in_flight >= shed.slots && free < random_shed_fraction * all;
}

double shed_monitor::accepted_fraction(kernel::time_point now) const
{
    const auto accepted = accepted_.count(now, window);
    const auto sent = accepted + shed_.count(now, window);
    return sent < minimum_requests ? 1 : static_cast<double>(accepted) / static_cast<double>(sent);
}

bool shed_monitor::is_shedding(kernel::time_point now) const
{
    return accepted_fraction(now) < shedding_fraction;
}

bool shed_monitor::is_congested(kernel::time_point now) const
{
    const std::chrono::duration<double> base = base_latency_;
    return base.count() > 0 && recent_latency(now) > congested_factor * base;
}

double shed_monitor::limit_factor(kernel::time_point now) const
{
    const std::chrono::duration<double> elapsed = now - reduced_at_;
    return std::min(1.0, reduced_factor_ + increase_per_second * elapsed.count());
}

kernel::duration shed_monitor::recent_latency(kernel::time_point now) const
{
    const auto count = accepted_.count(now, window);
    if (count < minimum_requests) {
        return {};
    }
    return std::chrono::microseconds{accepted_latency_us_.count(now, window) / count};
}

// Sheds that come with load must not raise the latency that they are recognized by.
void shed_monitor::update_base_latency(kernel::time_point now)
{
    const auto recent = recent_latency(now);
    if (now - base_updated_at_ < base_update_interval || recent == kernel::duration::zero()) {
        return;
    }
    base_updated_at_ = now;
    if (base_latency_ == kernel::duration::zero() || recent < base_latency_) {
        base_latency_ = recent;
        return;
    }
    if (shed_.count(now, window) == 0) {
        base_latency_ += std::chrono::duration_cast<kernel::duration>(base_rise_per_update * (recent - base_latency_));
    }
}

void shed_monitor::decrease_limit(kernel::time_point now)
{
    if (now - reduced_at_ < std::max(minimum_decrease_interval, base_latency_)) {
        return;
    }
    reduced_factor_ = std::max(minimum_factor, decrease_factor * limit_factor(now));
    reduced_at_ = now;
}

} // namespace wisterialane::proxy
