#include "tests/stand_ins/edge/tcp_relay.h"

#include <array>

#include <boost/asio/write.hpp>

namespace wisterialane::edge_stand_ins {
namespace {

using proxy::error_code;
using socket = proxy::tcp_stream::socket_type;

constexpr int backlog = 256;
constexpr std::size_t piece_size = 16384;
/// Pause between looks at a direction that is cut.
constexpr std::chrono::milliseconds cut_check{20};

} // namespace

struct tcp_relay::direction {
    explicit direction(const proxy::io_context::executor_type& executor) : pause{executor} {}

    std::array<char, piece_size> piece{};
    std::size_t size = 0;
    proxy::timer pause;
};

struct tcp_relay::connection {
    connection(socket use, const proxy::io_context::executor_type& executor)
        : client{std::move(use)}, server{executor}, upward{executor}, downward{executor}
    {}

    void close()
    {
        for (auto* end : {&client, &server}) {
            error_code ignored;
            end->set_option(boost::asio::socket_base::linger{true, 0}, ignored);
            end->close(ignored);
        }
        upward.pause.cancel();
        downward.pause.cancel();
    }

    socket client;
    socket server;
    direction upward;
    direction downward;
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
        for (const auto& item : connections_) {
            if (const auto open = item.lock()) {
                open->close();
            }
        }
        connections_.clear();
    }
}

bool tcp_relay::carries(bool to_server) const
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
        const auto opened = std::make_shared<connection>(std::move(client), self->context_.get_executor());
        if (self->mode_ == relay_mode::reset) {
            opened->close();
            return;
        }
        self->connections_.remove_if([](const auto& item) { return item.expired(); });
        self->connections_.push_back(opened);
        opened->server.async_connect(self->server_, [self, opened](error_code refused) {
            if (refused) {
                opened->close();
                return;
            }
            self->read(opened, true);
            self->read(opened, false);
        });
    });
}

void tcp_relay::read(const std::shared_ptr<connection>& of, bool to_server)
{
    auto& from = to_server ? of->client : of->server;
    auto& part = to_server ? of->upward : of->downward;
    from.async_read_some(boost::asio::buffer(part.piece),
                         [self = shared_from_this(), of, to_server, &part](error_code ended, std::size_t size) {
                             if (ended) {
                                 of->close();
                                 return;
                             }
                             part.size = size;
                             self->hold(of, to_server);
                         });
}

void tcp_relay::hold(const std::shared_ptr<connection>& of, bool to_server)
{
    if (carries(to_server) && delay_.count() == 0) {
        write(of, to_server);
        return;
    }
    auto& part = to_server ? of->upward : of->downward;
    part.pause.expires_after(std::max(delay_, cut_check));
    part.pause.async_wait([self = shared_from_this(), of, to_server](error_code cancelled) {
        if (cancelled) {
            return;
        }
        if (self->carries(to_server)) {
            self->write(of, to_server);
            return;
        }
        self->hold(of, to_server);
    });
}

void tcp_relay::write(const std::shared_ptr<connection>& of, bool to_server)
{
    auto& to = to_server ? of->server : of->client;
    auto& part = to_server ? of->upward : of->downward;
    boost::asio::async_write(to, boost::asio::buffer(part.piece.data(), part.size),
                             [self = shared_from_this(), of, to_server](error_code ended, std::size_t) {
                                 if (ended) {
                                     of->close();
                                     return;
                                 }
                                 self->read(of, to_server);
                             });
}

} // namespace wisterialane::edge_stand_ins
