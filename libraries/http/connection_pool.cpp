#include "libraries/http/connection_pool.h"

#include <utility>

namespace wisterialane::http {

kernel::result<std::unique_ptr<client_connection>>
connection_pool::acquire(const kernel::socket_address& address, connection_reuse reuse, kernel::time_point now)
{
    if (reuse == connection_reuse::allowed) {
        if (auto connection = take_idle(address, now)) {
            return connection;
        }
    }
    return client_connection::connect(address);
}

std::unique_ptr<client_connection> connection_pool::take_idle(const kernel::socket_address& address,
                                                              kernel::time_point now)
{
    // Declared before the lock, so that expired connections are closed after its release: closing can block.
    std::vector<idle_connection> expired;
    const std::lock_guard lock{mutex_};
    const auto found = idle_.find(address);
    if (found == idle_.end() || found->second.empty()) {
        return nullptr;
    }
    auto newest = std::move(found->second.back());
    found->second.pop_back();
    if (now - newest.since <= maximum_idle_) {
        return std::move(newest.connection);
    }
    // The newest idle connection is too old, so all of them are.
    expired = std::move(found->second);
    expired.push_back(std::move(newest));
    idle_.erase(found);
    return nullptr;
}

void connection_pool::release(std::unique_ptr<client_connection> connection, kernel::time_point now)
{
    if (!connection->reusable()) {
        return;
    }
    const std::lock_guard lock{mutex_};
    auto& connections = idle_[connection->address()];
    connections.push_back({std::move(connection), now});
}

void connection_pool::discard(const kernel::socket_address& address)
{
    // Declared before the lock, so that the connections are closed after its release.
    std::vector<idle_connection> discarded;
    const std::lock_guard lock{mutex_};
    if (const auto found = idle_.find(address); found != idle_.end()) {
        discarded = std::move(found->second);
        idle_.erase(found);
    }
}

} // namespace wisterialane::http
