#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"

#include <chrono>
#include <optional>

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace wisterialane::proxy {

using boost::asio::io_context;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;
using udp = boost::asio::ip::udp;

/// A TCP connection whose operations can have a timeout.
using tcp_stream = boost::beast::basic_stream<tcp, io_context::executor_type>;

using tcp_acceptor = boost::asio::basic_socket_acceptor<tcp, io_context::executor_type>;

/// Cancelling it does not take back an expiry that is already queued; `one_shot_timer` is the one to use.
using timer =
    boost::asio::basic_waitable_timer<std::chrono::steady_clock, boost::asio::wait_traits<std::chrono::steady_clock>,
                                      io_context::executor_type>;

/// Parses `ip:port` with a numeric IPv4 address. Returns nothing if it is malformed.
[[nodiscard]] std::optional<tcp::endpoint> parse_endpoint(const kernel::socket_address& address);

/// Disables Nagle's algorithm, and lets the connection fail when sent data is not acknowledged for `tcp_user_timeout`.
void set_connection_options(tcp_stream::socket_type& socket, std::chrono::milliseconds tcp_user_timeout);

/// Opens, binds and listens. Fails with `listen_failed`.
kernel::result<void> listen_at(tcp_acceptor& acceptor, const tcp::endpoint& address, int backlog);

/// Releases the memory of an empty read buffer that has grown large, so that an idle connection does not keep it.
void release_idle_buffer(boost::beast::flat_buffer& buffer);

/// What a read of a connection would return now; `closed` stands for the end of the stream or an error.
enum class pending_input { none, bytes, closed };

/// Checks for input without consuming it.
[[nodiscard]] pending_input peek(tcp_stream::socket_type& socket);

} // namespace wisterialane::proxy
