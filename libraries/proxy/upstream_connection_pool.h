#pragma once

#include "kernel/identifiers.h"
#include "libraries/proxy/network.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>

namespace wisterialane::proxy {

/// An open connection to an upstream with the bytes that were read ahead.
struct upstream_connection {
    explicit upstream_connection(io_context& context) : stream{context.get_executor()} {}

    tcp_stream stream;
    boost::beast::flat_buffer buffer;
    /// The timeout that is set for data without acknowledgement; zero if none is.
    std::chrono::milliseconds user_timeout{0};
    /// After this time the upstream may close the connection.
    kernel::time_point usable_until{};
};

/// Idle connections by upstream. A connection is reused only before its upstream's idle timeout, and only if no bytes
/// were received on it since, because bytes without a request are the response to none.
class upstream_connection_pool {
public:
    /// Returns the most recently used idle connection that is still usable, or null.
    [[nodiscard]] std::unique_ptr<upstream_connection> acquire(const kernel::upstream_name& id, kernel::time_point now);

    /// Returns a connection to the pool after a complete exchange.
    void release(const kernel::upstream_name& id, std::unique_ptr<upstream_connection> connection);

    /// Closes all idle connections of an upstream.
    void close_all(const kernel::upstream_name& id);

    /// Closes the connections whose upstream may close them now.
    void close_expired(kernel::time_point now);

private:
    std::map<kernel::upstream_name, std::vector<std::unique_ptr<upstream_connection>>> idle_;
};

} // namespace wisterialane::proxy
