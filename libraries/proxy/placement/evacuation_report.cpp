#include "libraries/proxy/placement/evacuation_report.h"

#include <algorithm>

namespace wisterialane::proxy {

std::vector<evacuation_report::line> evacuation_report::update(const std::set<kernel::data_centre_name>& evacuated,
                                                               const known_data_centres& known)
{
    std::vector<line> lines;
    for (const auto& data_centre : evacuated) {
        if (!reported_.contains(data_centre)) {
            lines.push_back({proxy_event::evacuation_started, data_centre});
        }
    }
    for (const auto& data_centre : reported_) {
        if (!evacuated.contains(data_centre)) {
            lines.push_back({proxy_event::evacuation_ended, data_centre});
        }
    }
    reported_ = evacuated;
    add_unknown(evacuated, known, lines);
    const bool all_evacuated =
        !known.with_upstreams.empty() &&
        std::includes(evacuated.begin(), evacuated.end(), known.with_upstreams.begin(), known.with_upstreams.end());
    if (all_evacuated && !all_evacuated_) {
        lines.push_back({proxy_event::all_data_centres_evacuated, {}});
    }
    all_evacuated_ = all_evacuated;
    return lines;
}

void evacuation_report::add_unknown(const std::set<kernel::data_centre_name>& evacuated,
                                    const known_data_centres& known, std::vector<line>& lines)
{
    std::erase_if(reported_unknown_, [&evacuated](const auto& name) { return !evacuated.contains(name); });
    if (!known.complete) {
        return;
    }
    for (const auto& data_centre : evacuated) {
        if (!known.all.contains(data_centre) && reported_unknown_.insert(data_centre).second) {
            lines.push_back({proxy_event::evacuation_unknown, data_centre});
        }
    }
}

} // namespace wisterialane::proxy
