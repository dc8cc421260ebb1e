#include "libraries/proxy/network.h"

#include "libraries/proxy/proxy_events.h"

#include <cerrno>
#include <charconv>
#include <cstddef>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace wisterialane::proxy {
namespace {

/// A greater read buffer is not kept with an idle connection.
constexpr std::size_t maximum_idle_buffer_bytes = std::size_t{16} * 1024;

} // namespace

std::optional<tcp::endpoint> parse_endpoint(const kernel::socket_address& address)
{
    const auto& text = address.value();
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    error_code error;
    const auto ip = boost::asio::ip::make_address_v4(text.substr(0, colon), error);
    if (parsed.ec != std::errc{} || parsed.ptr != end || error) {
        return std::nullopt;
    }
    return tcp::endpoint{ip, port};
}

void set_connection_options(tcp_stream::socket_type& socket, std::chrono::milliseconds tcp_user_timeout)
{
    error_code ignored;
    socket.set_option(tcp::no_delay{true}, ignored);
    const auto timeout = static_cast<int>(tcp_user_timeout.count());
    socket.set_option(boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>{timeout}, ignored);
}

kernel::result<void> listen_at(tcp_acceptor& acceptor, const tcp::endpoint& address, int backlog)
{
    error_code error;
    acceptor.open(address.protocol(), error);
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address{true}, error);
        acceptor.bind(address, error);
    }
    if (!error) {
        acceptor.listen(backlog, error);
    }
    if (error) {
        return kernel::fail(proxy_event::listen_failed, error.message());
    }
    return {};
}

void release_idle_buffer(boost::beast::flat_buffer& buffer)
{
    if (buffer.size() == 0 && buffer.capacity() > maximum_idle_buffer_bytes) {
        buffer.shrink_to_fit();
    }
}

pending_input peek(tcp_stream::socket_type& socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
        return pending_input::bytes;
    }
    const bool empty = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return empty ? pending_input::none : pending_input::closed;
}

} // namespace wisterialane::proxy
