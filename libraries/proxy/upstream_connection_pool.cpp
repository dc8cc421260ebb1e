#include "libraries/proxy/upstream_connection_pool.h"

namespace wisterialane::proxy {
namespace {

/// More idle connections of one upstream are closed, because upstreams bound their connections.
constexpr std::size_t maximum_idle = 8;

} // namespace

std::unique_ptr<upstream_connection> upstream_connection_pool::acquire(const kernel::upstream_name& id,
                                                                       kernel::time_point now)
{
    const auto found = idle_.find(id);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& list = found->second;
    while (!list.empty()) {
        auto connection = std::move(list.back());
        list.pop_back();
        if (now < connection->usable_until && peek(connection->stream.socket()) == pending_input::none) {
            return connection;
        }
    }
    return nullptr;
}

void upstream_connection_pool::release(const kernel::upstream_name& id, std::unique_ptr<upstream_connection> connection)
{
    auto& list = idle_[id];
    if (list.size() < maximum_idle) {
        list.push_back(std::move(connection));
    }
}

void upstream_connection_pool::close_all(const kernel::upstream_name& id)
{
    idle_.erase(id);
}

void upstream_connection_pool::close_expired(kernel::time_point now)
{
    for (auto& [id, list] : idle_) {
        std::erase_if(list, [now](const auto& connection) { return now >= connection->usable_until; });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace wisterialane::proxy
