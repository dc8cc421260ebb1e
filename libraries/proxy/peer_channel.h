#pragma once

#include "kernel/failure.h"
#include "libraries/proxy/network.h"
#include "libraries/proxy/peer_message.h"

#include <array>
#include <functional>
#include <memory>
#include <vector>

namespace wisterialane::proxy {

/// Sends and receives UDP datagrams between hosts. Datagrams are small, and the next one replaces one that is lost.
class peer_channel : public std::enable_shared_from_this<peer_channel> {
public:
    using handler = std::function<void(kernel::result<peer_message>)>;

    peer_channel(io_context& context, handler on_message);

    /// Binds the socket and starts to receive. Fails with `listen_failed`.
    kernel::result<void> open(const tcp::endpoint& address);

    void send(const peer_message& message, const std::vector<kernel::socket_address>& to);

private:
    using socket = boost::asio::basic_datagram_socket<udp, io_context::executor_type>;

    void receive_next();

    static constexpr std::size_t maximum_datagram_bytes = 16 * 1024;

    socket socket_;
    handler on_message_;
    std::array<char, maximum_datagram_bytes> buffer_{};
    udp::endpoint sender_;
};

} // namespace wisterialane::proxy
