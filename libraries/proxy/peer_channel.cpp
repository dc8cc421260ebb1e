#include "libraries/proxy/peer_channel.h"

#include "libraries/proxy/proxy_events.h"

#include <boost/asio/buffer.hpp>

namespace wisterialane::proxy {

peer_channel::peer_channel(io_context& context, handler on_message)
    : socket_{context.get_executor()}, on_message_{std::move(on_message)}
{}

kernel::result<void> peer_channel::open(const tcp::endpoint& address)
{
    const udp::endpoint local{address.address(), address.port()};
    error_code failed;
    socket_.open(local.protocol(), failed);
    if (!failed) {
        socket_.non_blocking(true, failed);
        socket_.bind(local, failed);
    }
    if (failed) {
        return kernel::fail(proxy_event::listen_failed, failed.message());
    }
    receive_next();
    return {};
}

void peer_channel::send(const peer_message& message, const std::vector<kernel::socket_address>& to)
{
    const auto bytes = encode(message);
    for (const auto& address : to) {
        if (const auto endpoint = parse_endpoint(address)) {
            // A datagram that the socket cannot send at once is dropped, as if the network had lost it.
            error_code failed;
            socket_.send_to(boost::asio::buffer(bytes), udp::endpoint{endpoint->address(), endpoint->port()}, 0,
                            failed);
            if (failed) {
                ++traffic_.dropped;
                traffic_.dropped_bytes += bytes.size();
                continue;
            }
            ++traffic_.sent;
            traffic_.sent_bytes += bytes.size();
        }
    }
}

void peer_channel::receive_next()
{
    socket_.async_receive_from(boost::asio::buffer(buffer_), sender_,
                               [self = shared_from_this()](error_code failed, std::size_t count) {
                                   if (failed == boost::asio::error::operation_aborted) {
                                       return;
                                   }
                                   if (failed) {
                                       self->receive_next();
                                       return;
                                   }
                                   ++self->traffic_.received;
                                   self->traffic_.received_bytes += count;
                                   const auto message = decode_peer_message({self->buffer_.data(), count});
                                   // First, so that a handler that fails does not end it.
                                   self->receive_next();
                                   self->on_message_(message);
                               });
}

} // namespace wisterialane::proxy
