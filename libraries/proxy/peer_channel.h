#pragma once

#include "kernel/failure.h"
#include "libraries/proxy/network.h"
#include "libraries/proxy/peer_message.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace wisterialane::proxy {

/// Datagrams and their bytes since the start.
struct peer_traffic {
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    /// Those that the socket did not take.
    std::uint64_t dropped = 0;
    std::uint64_t dropped_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
};

/// Sends and receives UDP datagrams between hosts. Datagrams are small, and the next one replaces one that is lost.
class peer_channel : public std::enable_shared_from_this<peer_channel> {
public:
    using handler = std::function<void(kernel::result<peer_message>)>;

    peer_channel(io_context& context, handler on_message);

    /// Binds the socket and starts to receive. Fails with `listen_failed`.
    kernel::result<void> open(const tcp::endpoint& address);

    void send(const peer_message& message, const std::vector<kernel::socket_address>& to);

    [[nodiscard]] const peer_traffic& traffic() const { return traffic_; }

private:
    using socket = boost::asio::basic_datagram_socket<udp, io_context::executor_type>;

    void receive_next();

    static constexpr std::size_t maximum_datagram_bytes = 16 * 1024;

    socket socket_;
    handler on_message_;
    std::array<char, maximum_datagram_bytes> buffer_{};
    udp::endpoint sender_;
    peer_traffic traffic_;
};

} // namespace wisterialane::proxy
