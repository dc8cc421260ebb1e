#include "libraries/proxy/upstream_connection_pool.h"

namespace wisterialane::proxy {
namespace {

/// Idle connections to one upstream beyond this number are closed, because upstreams limit their connections.
constexpr std::size_t maximum_idle_connections = 8;

} // namespace

std::unique_ptr<upstream_connection> upstream_connection_pool::acquire(const kernel::upstream_name& id,
                                                                       kernel::time_point now)
{
    const auto found = idle_.find(id);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& idle_connections = found->second;
    while (!idle_connections.empty()) {
        auto connection = std::move(idle_connections.back());
        idle_connections.pop_back();
        if (now < connection->usable_until && peek(connection->stream.socket()) == pending_input::none) {
            return connection;
        }
    }
    return nullptr;
}

void upstream_connection_pool::release(const kernel::upstream_name& id, std::unique_ptr<upstream_connection> connection)
{
    auto& idle_connections = idle_[id];
    if (idle_connections.size() < maximum_idle_connections) {
        idle_connections.push_back(std::move(connection));
    }
}

void upstream_connection_pool::close_all(const kernel::upstream_name& id)
{
    idle_.erase(id);
}

void upstream_connection_pool::close_expired(kernel::time_point now)
{
    for (auto& [id, idle_connections] : idle_) {
        std::erase_if(idle_connections, [now](const auto& connection) { return now >= connection->usable_until; });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace wisterialane::proxy
