#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/http/message.h"
#include "libraries/http/server_exchange.h"

#include <functional>
#include <memory>

namespace wisterialane::http {

struct server_settings {
    /// Port 0 takes a free one.
    kernel::socket_address address;
    /// A connection occupies a thread while it is open, so this bounds the connections served at once.
    unsigned threads = 32;
    /// Longest silence of a caller inside a request.
    std::chrono::milliseconds request_timeout{10'000};
    /// Longest silence between requests of a connection.
    std::chrono::milliseconds keep_alive_timeout{15'000};
};

/// HTTP/1.1 server (CivetWeb). Requests whose framing can be read in two ways are refused with 400 and the connection
/// is closed before the handler sees them.
class server {
public:
    /// Called on the connection's thread, for many requests at once.
    using handler = std::function<void(server_exchange&)>;

    /// Fails with `invalid_address` or `address_in_use`.
    static kernel::result<std::unique_ptr<server>> create(const server_settings& settings, handler handle);

    server(const server&) = delete;
    server& operator=(const server&) = delete;
    /// Closes all connections; running handlers end first.
    ~server();

    /// The address in use, with the real port.
    [[nodiscard]] const kernel::socket_address& address() const { return address_; }

private:
    struct context_deleter {
        void operator()(void* context) const;
    };

    explicit server(handler handle) : handle_{std::move(handle)} {}

    kernel::result<void> listen(const server_settings& settings);
    static int on_request(void* connection, void* self);

    handler handle_;
    kernel::socket_address address_;
    std::unique_ptr<void, context_deleter> context_;
};

} // namespace wisterialane::http
