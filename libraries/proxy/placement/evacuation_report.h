#pragma once

#include "kernel/identifiers.h"
#include "libraries/proxy/proxy_events.h"

#include <set>
#include <vector>

namespace wisterialane::proxy {

/// The data centres that this host knows.
struct known_data_centres {
    /// Those of its settings, of other hosts and of upstreams.
    std::set<kernel::data_centre_name> all;
    /// Those of upstreams.
    std::set<kernel::data_centre_name> with_upstreams;
    /// Whether the host has had time to learn them all since its start.
    bool complete = false;
};

/// Decides which lines an operator needs about the evacuations in force, each once.
class evacuation_report {
public:
    struct line {
        proxy_event event = proxy_event::evacuation_started;
        /// Empty if the line concerns all data centres.
        kernel::data_centre_name data_centre;
    };

    /// Returns the lines for what has changed since the last call.
    [[nodiscard]] std::vector<line> update(const std::set<kernel::data_centre_name>& evacuated,
                                           const known_data_centres& known);

private:
    void add_unknown(const std::set<kernel::data_centre_name>& evacuated, const known_data_centres& known,
                     std::vector<line>& lines);

    std::set<kernel::data_centre_name> reported_;
    std::set<kernel::data_centre_name> reported_unknown_;
    bool all_evacuated_ = false;
};

} // namespace wisterialane::proxy
