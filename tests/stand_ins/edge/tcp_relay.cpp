#include "tests/stand_ins/edge/tcp_relay.h"

#include <array>

#include <boost/asio/write.hpp>

namespace wisterialane::edge_stand_ins {
namespace {

using proxy::error_code;
using socket = proxy::tcp_stream::socket_type;

constexpr int backlog = 256;
constexpr std::size_t buffer_size = 16384;
/// Interval at which a blocked direction checks whether it may forward again.
constexpr std::chrono::milliseconds blocked_poll_interval{20};

} // namespace

struct tcp_relay::direction {
    explicit direction(const proxy::io_context::executor_type& executor) : timer{executor} {}

    std::array<char, buffer_size> buffer{};
    std::size_t size = 0;
    proxy::timer timer;
};

struct tcp_relay::connection {
    connection(socket client_socket, const proxy::io_context::executor_type& executor)
        : client{std::move(client_socket)}, server{executor}, client_to_server{executor}, server_to_client{executor}
    {}

    void close()
    {
        for (auto* open_socket : {&client, &server}) {
            error_code ignored;
            open_socket->set_option(boost::asio::socket_base::linger{true, 0}, ignored);
            open_socket->close(ignored);
        }
        client_to_server.timer.cancel();
        server_to_client.timer.cancel();
    }

    socket client;
    socket server;
    direction client_to_server;
    direction server_to_client;
};

tcp_relay::tcp_relay(proxy::io_context& context, proxy::tcp::endpoint server)
    : context_{context}, server_{std::move(server)}, acceptor_{context.get_executor()}
{}

kernel::result<void> tcp_relay::listen(const proxy::tcp::endpoint& address)
{
    auto listening = proxy::listen_at(acceptor_, address, backlog);
    if (listening) {
        accept();
    }
    return listening;
}

void tcp_relay::set_mode(relay_mode mode)
{
    mode_ = mode;
    if (mode == relay_mode::reset) {
        for (const auto& relayed : connections_) {
            if (const auto open_connection = relayed.lock()) {
                open_connection->close();
            }
        }
        connections_.clear();
    }
}

bool tcp_relay::forwards(bool to_server) const
{
    return mode_ == relay_mode::forward ||
           mode_ == (to_server ? relay_mode::blocked_to_client : relay_mode::blocked_to_server);
}

void tcp_relay::accept()
{
    acceptor_.async_accept([self = shared_from_this()](error_code failed, socket client) {
        if (failed) {
            return;
        }
        self->accept();
        const auto new_connection = std::make_shared<connection>(std::move(client), self->context_.get_executor());
        if (self->mode_ == relay_mode::reset) {
            new_connection->close();
            return;
        }
        self->connections_.remove_if([](const auto& relayed) { return relayed.expired(); });
        self->connections_.push_back(new_connection);
        new_connection->server.async_connect(self->server_, [self, new_connection](error_code refused) {
            if (refused) {
                new_connection->close();
                return;
            }
            self->read(new_connection, true);
            self->read(new_connection, false);
        });
    });
}

void tcp_relay::read(const std::shared_ptr<connection>& relayed, bool to_server)
{
    auto& source = to_server ? relayed->client : relayed->server;
    auto& state = to_server ? relayed->client_to_server : relayed->server_to_client;
    source.async_read_some(boost::asio::buffer(state.buffer),
                           [self = shared_from_this(), relayed, to_server, &state](error_code ended, std::size_t size) {
                               if (ended) {
                                   relayed->close();
                                   return;
                               }
                               state.size = size;
                               self->forward_or_wait(relayed, to_server);
                           });
}

void tcp_relay::forward_or_wait(const std::shared_ptr<connection>& relayed, bool to_server)
{
    if (forwards(to_server) && delay_.count() == 0) {
        write(relayed, to_server);
        return;
    }
    auto& state = to_server ? relayed->client_to_server : relayed->server_to_client;
    state.timer.expires_after(std::max(delay_, blocked_poll_interval));
    state.timer.async_wait([self = shared_from_this(), relayed, to_server](error_code cancelled) {
        if (cancelled) {
            return;
        }
        if (self->forwards(to_server)) {
            self->write(relayed, to_server);
            return;
        }
        self->forward_or_wait(relayed, to_server);
    });
}

void tcp_relay::write(const std::shared_ptr<connection>& relayed, bool to_server)
{
    auto& destination = to_server ? relayed->server : relayed->client;
    auto& state = to_server ? relayed->client_to_server : relayed->server_to_client;
    boost::asio::async_write(destination, boost::asio::buffer(state.buffer.data(), state.size),
                             [self = shared_from_this(), relayed, to_server](error_code ended, std::size_t) {
                                 if (ended) {
                                     relayed->close();
                                     return;
                                 }
                                 self->read(relayed, to_server);
                             });
}

} // namespace wisterialane::edge_stand_ins
