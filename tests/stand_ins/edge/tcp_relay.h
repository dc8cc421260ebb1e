#pragma once

#include "kernel/failure.h"
#include "libraries/proxy/network.h"

#include <list>
#include <memory>

namespace wisterialane::edge_stand_ins {

enum class relay_mode {
    forward,
    /// Resets connections, old and new.
    reset,
    /// Keeps connections open and carries nothing.
    blocked,
    /// Carries nothing to the server.
    blocked_to_server,
    /// Carries nothing to the client.
    blocked_to_client,
};

/// Carries TCP connections to a server, and misbehaves as a network does.
class tcp_relay : public std::enable_shared_from_this<tcp_relay> {
public:
    tcp_relay(proxy::io_context& context, proxy::tcp::endpoint server);

    /// Fails with `listen_failed`.
    kernel::result<void> listen(const proxy::tcp::endpoint& address);

    /// Bytes that were held back are carried when the mode allows it again.
    void set_mode(relay_mode mode);

    /// Each piece is carried this much later.
    void set_delay(std::chrono::milliseconds delay) { delay_ = delay; }

private:
    struct connection;
    struct direction;

    void accept();
    [[nodiscard]] bool carries(bool to_server) const;
    void read(const std::shared_ptr<connection>& of, bool to_server);
    void hold(const std::shared_ptr<connection>& of, bool to_server);
    void write(const std::shared_ptr<connection>& of, bool to_server);

    proxy::io_context& context_;
    proxy::tcp::endpoint server_;
    proxy::tcp_acceptor acceptor_;
    std::list<std::weak_ptr<connection>> connections_;
    relay_mode mode_ = relay_mode::forward;
    std::chrono::milliseconds delay_{0};
};

} // namespace wisterialane::edge_stand_ins
