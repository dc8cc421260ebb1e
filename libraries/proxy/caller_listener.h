#pragma once

#include "kernel/failure.h"
#include "libraries/proxy/caller_session.h"
#include "libraries/proxy/one_shot_timer.h"

#include <list>
#include <memory>

namespace wisterialane::proxy {

/// Accepts connections at one address and runs a session on each.
class caller_listener : public std::enable_shared_from_this<caller_listener> {
public:
    caller_listener(io_context& context, std::shared_ptr<const session_hooks> hooks);

    /// Fails with `listen_failed`.
    kernel::result<void> listen(const tcp::endpoint& address);

    /// Accepts no further connections.
    void stop_accepting();

    /// Closes the connections on which no request has begun.
    void close_idle_connections();

    [[nodiscard]] std::size_t connection_count();

private:
    void accept();
    void remove_closed_sessions();

    tcp_acceptor acceptor_;
    one_shot_timer retry_timer_;
    std::shared_ptr<const session_hooks> hooks_;
    std::list<std::weak_ptr<caller_session>> sessions_;
    std::size_t accepted_since_cleanup_ = 0;
};

} // namespace wisterialane::proxy
