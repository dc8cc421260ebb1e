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

/// An open connection to an upstream that no exchange uses.
struct upstream_connection {
    explicit upstream_connection(io_context& context) : stream{context.get_executor()} {}

    tcp_stream stream;
    boost::beast::flat_buffer buffer;
    /// The upstream may close it after this moment.
    kernel::time_point usable_until{};
};

/// Idle connections by upstream. A connection is handed out again only while its upstream has promised to keep it, and
/// only if nothing has arrived on it: bytes without a request belong to none.
class upstream_connection_pool {
public:
    /// A usable idle connection, the most recently used first, or null.
    [[nodiscard]] std::unique_ptr<upstream_connection> acquire(const kernel::upstream_name& id, kernel::time_point now);

    /// Keeps a connection after a complete exchange.
    void release(const kernel::upstream_name& id, std::unique_ptr<upstream_connection> connection);

    /// Closes all idle connections of an upstream.
    void close_all(const kernel::upstream_name& id);

    /// Closes the connections that may not be used any more.
    void close_expired(kernel::time_point now);

private:
    std::map<kernel::upstream_name, std::vector<std::unique_ptr<upstream_connection>>> idle_;
};

} // namespace wisterialane::proxy
