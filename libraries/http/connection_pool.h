#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/http/client_connection.h"

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace wisterialane::http {

/// Whether an exchange may start on a connection that was used before.
enum class connection_reuse { allowed, new_only };

/// Keeps idle client connections by address. Thread-safe.
class connection_pool {
public:
    /// An idle connection older than this is closed, because the server may close it at the moment of its next use.
    explicit connection_pool(kernel::duration maximum_idle) : maximum_idle_{maximum_idle} {}

    /// A connection for one exchange. `new_only` is for requests that must not meet a connection that has died while
    /// idle: a byte sent there makes the outcome unknown.
    kernel::result<std::unique_ptr<client_connection>> acquire(const kernel::socket_address& address,
                                                               connection_reuse reuse, kernel::time_point now);

    /// Keeps the connection if its exchange is complete, and closes it otherwise.
    void release(std::unique_ptr<client_connection> connection, kernel::time_point now);

    /// Closes all idle connections to an address, after one of them has gone silent.
    void discard(const kernel::socket_address& address);

private:
    struct idle_connection {
        std::unique_ptr<client_connection> connection;
        kernel::time_point since;
    };

    std::unique_ptr<client_connection> take_idle(const kernel::socket_address& address, kernel::time_point now);

    kernel::duration maximum_idle_;
    std::mutex mutex_;
    std::unordered_map<kernel::socket_address, std::vector<idle_connection>> idle_;
};

} // namespace wisterialane::http
