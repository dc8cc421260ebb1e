#include "libraries/proxy/admission/retry_schedule.h"

#include <algorithm>
#include <cmath>

namespace wisterialane::proxy {
namespace {

using milliseconds = std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

/// Shortest time until a return: a caller's new request needs about as long to arrive.
constexpr milliseconds minimum_wait{20};
/// Longest spread of the returns after a shed. Callers honour a third of their remaining time, and the shortest target
/// latencies (0.8 s) leave about this much for one return and a response.
constexpr milliseconds maximum_shed_spread{400};
/// Spread of the returns of requests that miss their target latency anyway.
constexpr milliseconds late_shed_spread{300};
/// Shortest wait of a request that has to wait for capacity.
constexpr milliseconds minimum_overload_wait{300};
/// Time for which returns are scheduled after the first. Callers with deadlines of up to 12 s honour no longer times.
constexpr milliseconds horizon{4000};
/// Returns of a customer beyond its limit are not scheduled further ahead; the quota's window is as long.
constexpr milliseconds limit_horizon{5000};
/// Multiples of it, modulo 1, are spread evenly however many there are.
constexpr double golden_ratio = 0.6180339887498949;

double spread_position(std::uint64_t index)
{
    const double multiple = static_cast<double>(index) * golden_ratio;
    return multiple - std::floor(multiple);
}

kernel::duration scaled(kernel::duration span, double fraction)
{
    return std::chrono::duration_cast<kernel::duration>(fraction * seconds{span});
}

kernel::duration interval_of(double per_second)
{
    // One a second at least, so that one refusal does not put off all later ones.
    return std::chrono::duration_cast<kernel::duration>(seconds{1 / std::max(1.0, per_second)});
}

} // namespace

kernel::duration retry_schedule::after_shed(const refused_request& request, kernel::time_point now)
{
    auto& returns = services_[request.service];
    const auto until_target = request.target_deadline - now - request.usual_latency;
    const kernel::duration spread =
        until_target > minimum_wait ? std::min<kernel::duration>(until_target, maximum_shed_spread) : late_shed_spread;
    // The more urgent part of the requests returns in the first part of the spread.
    const double position = request.place.more_urgent + request.place.equal * spread_position(++returns.sheds);
    return minimum_wait + scaled(spread - minimum_wait, position);
}

kernel::duration retry_schedule::after_overload(const refused_request& request, kernel::duration expected_wait,
                                                double served_per_second, kernel::time_point now)
{
    auto& returns = services_[request.service];
    const auto first = now + std::max<kernel::duration>(expected_wait, minimum_overload_wait);
    auto slot = first;
    for (auto entry = returns.next.begin(); entry != returns.next.end() && !(request.priority < entry->first);
         ++entry) {
        slot = std::max(slot, entry->second);
    }
    if (slot > first + horizon) {
        // All times up to the horizon are taken; no later one would be honoured, so the returns only keep apart.
        return first - now + scaled(horizon, spread_position(++returns.sheds));
    }
    returns.next[request.priority] = slot + interval_of(served_per_second);
    return slot - now;
}

kernel::duration retry_schedule::after_limit(const kernel::customer_name& customer, kernel::duration wait,
                                             double rate_per_second, kernel::time_point now)
{
    auto& next = next_of_customers_[customer];
    const auto slot = std::min(std::max(now + wait, next), now + std::max<kernel::duration>(wait, limit_horizon));
    next = slot + interval_of(rate_per_second);
    return slot - now;
}

std::string retry_after_text(kernel::duration wait)
{
    const auto rounded = std::chrono::ceil<milliseconds>(wait).count();
    auto text = std::to_string(rounded / 1000) + ".";
    const auto fraction = std::to_string(rounded % 1000);
    return text + std::string(3 - fraction.size(), '0') + fraction;
}

} // namespace wisterialane::proxy
