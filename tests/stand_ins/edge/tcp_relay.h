#pragma once

#include "kernel/failure.h"
#include "libraries/proxy/network.h"

#include <list>
#include <memory>

namespace wisterialane::edge_stand_ins {

enum class relay_mode {
    forward,
    /// Resets open and new connections.
    reset,
    /// Keeps connections open and forwards nothing.
    blocked,
    /// Forwards nothing to the server.
    blocked_to_server,
    /// Forwards nothing to the client.
    blocked_to_client,
};

/// Forwards TCP connections to a server and simulates faults of the network.
class tcp_relay : public std::enable_shared_from_this<tcp_relay> {
public:
    tcp_relay(proxy::io_context& context, proxy::tcp::endpoint server);

    /// Fails with `listen_failed`.
    kernel::result<void> listen(const proxy::tcp::endpoint& address);

    /// Bytes that a mode holds back are forwarded when a later mode allows it.
    void set_mode(relay_mode mode);

    /// Delays each block of bytes by this time.
    void set_delay(std::chrono::milliseconds delay) { delay_ = delay; }

private:
    struct connection;
    struct direction;

    void accept();
    [[nodiscard]] bool forwards(bool to_server) const;
    void read(const std::shared_ptr<connection>& relayed, bool to_server);
    void forward_or_wait(const std::shared_ptr<connection>& relayed, bool to_server);
    void write(const std::shared_ptr<connection>& relayed, bool to_server);

    proxy::io_context& context_;
    proxy::tcp::endpoint server_;
    proxy::tcp_acceptor acceptor_;
    std::list<std::weak_ptr<connection>> connections_;
    relay_mode mode_ = relay_mode::forward;
    std::chrono::milliseconds delay_{0};
};

} // namespace wisterialane::edge_stand_ins
