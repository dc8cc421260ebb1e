#include "libraries/proxy/membership/host_load.h"

namespace wisterialane::proxy {
namespace {

using seconds = std::chrono::duration<double>;

/// Processor time per request from its arrival to the response, retries included; see docs/CAPACITY.md.
constexpr seconds processor_time_per_request{0.0005};
/// Short, so that a rise of the load is seen early. `recent_peak` keeps what a short window forgets.
constexpr std::chrono::seconds load_window{2};
/// Time after the start in which the load is forecast: callers arrive in it, and cache their first addresses for
/// seconds.
constexpr std::chrono::seconds forecast_time{20};
/// Fraction of the upstreams' slots that is assumed to be in use before requests have been counted, and the time that a
/// request is assumed to occupy its slot.
constexpr double forecast_utilization = 0.25;
constexpr seconds forecast_slot_time{0.3};

} // namespace

double host_load::value(kernel::time_point now) const
{
    // The counter's current second has only begun: without this correction up to half of the requests are missing.
    const auto of_current_second = now.time_since_epoch() % std::chrono::seconds{1};
    const seconds counted = load_window - std::chrono::seconds{1} + of_current_second;
    const auto rate = static_cast<double>(requests_.count(now, load_window)) / counted.count();
    return rate * processor_time_per_request.count() / processor_cores_;
}

double forecast_demand(kernel::duration uptime, std::size_t slots, std::size_t data_centres)
{
    if (uptime > forecast_time || data_centres == 0) {
        return 0;
    }
    const double requests_per_second = static_cast<double>(slots) * forecast_utilization / forecast_slot_time.count();
    return requests_per_second * processor_time_per_request.count() / static_cast<double>(data_centres);
}

} // namespace wisterialane::proxy
