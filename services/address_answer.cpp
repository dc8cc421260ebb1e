#include "services/address_answer.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

#include <nlohmann/json.hpp>

namespace wisterialane::services {
namespace {

// Enough for a caller to outlive several failed hosts until it asks again.
constexpr std::size_t maximum_addresses = 6;

enum class preference { home_here, home_elsewhere, other_here, other_elsewhere };

constexpr std::size_t preference_count = 4;

preference rank(const configuration::roster_entry& entry, const address_query& query)
{
    const bool here = entry.data_centre == query.data_centre;
    const bool home = std::any_of(query.homes.begin(), query.homes.end(),
                                  [&entry](const auto& candidate) { return candidate.instance == entry.instance; });
    if (home) {
        return here ? preference::home_here : preference::home_elsewhere;
    }
    return here ? preference::other_here : preference::other_elsewhere;
}

void shuffle(std::vector<kernel::socket_address>& items, const std::function<std::size_t(std::size_t)>& random)
{
    for (auto left = items.size(); left > 1; --left) {
        std::swap(items[left - 1], items[random(left)]);
    }
}

} // namespace

std::vector<kernel::socket_address> order_addresses(const address_query& query,
                                                    const std::function<std::size_t(std::size_t)>& random)
{
    std::array<std::vector<kernel::socket_address>, preference_count> groups;
    for (const auto& entry : query.live) {
        groups[static_cast<std::size_t>(rank(entry, query))].push_back(entry.caller_address);
    }
    std::vector<kernel::socket_address> ordered;
    for (auto& group : groups) {
        shuffle(group, random);
        ordered.insert(ordered.end(), group.begin(), group.end());
    }
    ordered.resize(std::min(ordered.size(), maximum_addresses));
    return ordered;
}

std::string render_addresses(const kernel::service_name& service, const std::vector<kernel::socket_address>& addresses,
                             std::chrono::milliseconds keep, kernel::version_number version)
{
    nlohmann::json answer;
    answer["service"] = service.value();
    answer["addresses"] = nlohmann::json::array();
    for (const auto& address : addresses) {
        answer["addresses"].push_back(address.value());
    }
    answer["keep_seconds"] = std::chrono::duration<double>(keep).count();
    answer["version"] = version.value();
    return answer.dump();
}

} // namespace wisterialane::services
