#include "libraries/proxy/membership/membership_report.h"

#include "libraries/proxy/membership/event_loop_delay.h"
#include "libraries/proxy/proxy_events.h"

#include <string>
#include <utility>

namespace wisterialane::proxy {
namespace {

using kernel::line_priority;

std::string to_millicores_text(double cores)
{
    constexpr double millicores_per_core = 1000;
    return std::to_string(static_cast<long>(cores * millicores_per_core));
}

} // namespace

void membership_report::update(const membership_view& view, kernel::time_point now)
{
    metrics_.set_membership(view.active_hosts, view.remembered_demand);
    if (const bool late = usable_fraction(view.delay) < 1; late != late_) {
        late_ = late;
        log_.write(now, line_priority::important,
                   late ? proxy_event::event_loop_late : proxy_event::event_loop_recovered,
                   {{"delay_ms", kernel::to_milliseconds_text(view.delay)}});
    }
    if (view.active_hosts != active_hosts_) {
        const auto previous = std::exchange(active_hosts_, view.active_hosts);
        log_.write(now, line_priority::routine, proxy_event::active_hosts_changed,
                   {{"hosts", std::to_string(view.active_hosts)},
                    {"previous", std::to_string(previous)},
                    {"demand_millicores", to_millicores_text(view.remembered_demand)}});
    }
}

} // namespace wisterialane::proxy
