#include "tests/http/raw_socket.h"

#include "libraries/http/socket_address.h"

#include <array>
#include <utility>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wisterialane::http {
namespace {

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace

std::string send_raw(const kernel::socket_address& address, const std::string& bytes)
{
    const auto parsed = parse_socket_address(address);
    REQUIRE(parsed);
    const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto target = loopback(parsed->port);
    REQUIRE(::connect(connection, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0);
    (void)::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    ::shutdown(connection, SHUT_WR);
    std::string answer;
    std::array<char, 4096> buffer{};
    ssize_t count = 0;
    while ((count = ::read(connection, buffer.data(), buffer.size())) > 0) {
        answer.append(buffer.data(), static_cast<std::size_t>(count));
    }
    ::close(connection);
    return answer;
}

raw_listener::raw_listener() : listener_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    const auto target = loopback(0);
    REQUIRE(::bind(listener_, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0);
    REQUIRE(::listen(listener_, 8) == 0);
}

raw_listener::~raw_listener()
{
    ::shutdown(listener_, SHUT_RDWR);
    if (thread_.joinable()) {
        thread_.join();
    }
    ::close(listener_);
}

kernel::socket_address raw_listener::address() const
{
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&bound), &length);
    return kernel::socket_address{"127.0.0.1:" + std::to_string(ntohs(bound.sin_port))};
}

void raw_listener::answer_next(std::string bytes)
{
    thread_ = std::thread{[this, bytes = std::move(bytes)] {
        const int connection = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
            return;
        }
        std::array<char, 4096> buffer{};
        if (::read(connection, buffer.data(), buffer.size()) > 0) {
            (void)::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        }
        ::close(connection);
    }};
}

} // namespace wisterialane::http
