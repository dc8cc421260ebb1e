#include "libraries/proxy/quota/start_fleet.h"

#include "libraries/proxy/membership/host_rank.h"

#include <algorithm>
#include <map>
#include <utility>

namespace wisterialane::proxy {

start_fleet make_start_fleet(const host_record& self, std::vector<host_record> rows)
{
    std::erase_if(rows, [&](const auto& row) { return row.host == self.host; });
    rows.push_back(self);
    std::sort(rows.begin(), rows.end(), [](const auto& left, const auto& right) { return ranks_before(left, right); });
    std::map<kernel::data_centre_name, std::vector<const host_record*>> ranked;
    for (const auto& row : rows) {
        ranked[row.data_centre].push_back(&row);
    }
    const auto& own = ranked.at(self.data_centre);
    const auto own_rank = static_cast<std::size_t>(
        std::find_if(own.begin(), own.end(), [&](const auto* row) { return row->host == self.host; }) - own.begin());
    start_fleet fleet{rows.size(), own.size(), 0};
    for (const auto& [data_centre, hosts] : ranked) {
        // Hosts of equal rank are ordered by the names of their data centres.
        const auto before = own_rank + (data_centre < self.data_centre ? 1 : 0);
        fleet.place += std::min(hosts.size(), before);
    }
    return fleet;
}

} // namespace wisterialane::proxy
