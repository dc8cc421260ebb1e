#include "libraries/proxy/caller_listener.h"

namespace wisterialane::proxy {
namespace {

constexpr int backlog = 512;
/// Delay after a failed accept, usually for lack of descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{100};
constexpr std::size_t connections_between_cleanups = 64;

} // namespace

caller_listener::caller_listener(io_context& context, std::shared_ptr<const session_hooks> hooks)
    : acceptor_{context.get_executor()}, retry_timer_{context.get_executor()}, hooks_{std::move(hooks)}
{}

kernel::result<void> caller_listener::listen(const tcp::endpoint& address)
{
    auto listening = listen_at(acceptor_, address, backlog);
    if (listening) {
        accept();
    }
    return listening;
}

void caller_listener::accept()
{
    acceptor_.async_accept([self = shared_from_this()](error_code error, tcp_stream::socket_type socket) {
        if (!self->acceptor_.is_open()) {
            return;
        }
        if (error) {
            self->retry_timer_.start(accept_retry_delay, [self] { self->accept(); });
            return;
        }
        // First, so that a session that fails does not end it.
        self->accept();
        const auto session = std::make_shared<caller_session>(std::move(socket), self->hooks_);
        self->sessions_.push_back(session);
        session->start();
        if (++self->accepted_since_cleanup_ >= connections_between_cleanups) {
            self->remove_closed_sessions();
        }
    });
}

void caller_listener::remove_closed_sessions()
{
    accepted_since_cleanup_ = 0;
    sessions_.remove_if([](const auto& session) { return session.expired(); });
}

void caller_listener::stop_accepting()
{
    error_code ignored;
    acceptor_.close(ignored);
    retry_timer_.cancel();
}

void caller_listener::close_idle_connections()
{
    for (const auto& weak : sessions_) {
        if (const auto session = weak.lock()) {
            session->close_if_idle();
        }
    }
}

std::size_t caller_listener::connection_count()
{
    remove_closed_sessions();
    return sessions_.size();
}

} // namespace wisterialane::proxy
