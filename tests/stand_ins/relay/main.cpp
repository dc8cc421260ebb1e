// Test program: relays TCP connections to a target and cuts one direction on request.
//
// Usage: relay LISTEN_ADDRESS TARGET_ADDRESS CONTROL_ADDRESS. Prints "listening" when ready. Control interface (HTTP):
// POST /cut?direction=to_server|to_client|both and POST /restore. Connections that are open during a cut stay open and
// silent; new connections are accepted and silent as well.

#include "libraries/http/server.h"
#include "libraries/http/socket_address.h"
#include "tests/stand_ins/relay/relay_connection.h"

#include <csignal>
#include <iostream>
#include <list>
#include <memory>
#include <string>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wisterialane::relay {
namespace {

volatile std::sig_atomic_t stop_requested = 0;

constexpr int accept_poll_ms = 20;

sockaddr_in to_sockaddr(const http::parsed_socket_address& address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

int listen_on(const sockaddr_in& address)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(listener, SOMAXCONN) != 0) {
        return -1;
    }
    return listener;
}

void apply_control(http::server_exchange& exchange, cut_state& cuts)
{
    const auto& target = exchange.head().target;
    const auto has = [&target](const char* text) { return target.find(text) != std::string::npos; };
    if (has("/restore")) {
        cuts.to_server = false;
        cuts.to_client = false;
    }
    else if (has("/cut")) {
        cuts.to_server = cuts.to_server || has("to_server") || has("both");
        cuts.to_client = cuts.to_client || has("to_client") || has("both");
    }
    (void)exchange.respond(200, {}, "ok");
}

void accept_connections(int listener, const sockaddr_in& target, const cut_state& cuts)
{
    std::list<std::unique_ptr<relay_connection>> connections;
    while (stop_requested == 0) {
        connections.remove_if([](const auto& connection) { return connection->finished(); });
        pollfd readable{listener, POLLIN, 0};
        if (::poll(&readable, 1, accept_poll_ms) <= 0) {
            continue;
        }
        const int client = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (::connect(server, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
            ::close(client);
            ::close(server);
            continue;
        }
        const int enabled = 1;
        ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        ::setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        connections.push_back(std::make_unique<relay_connection>(client, server, cuts));
    }
}

int run(const std::string& listen_text, const std::string& target_text, const std::string& control_text)
{
    const auto listen_address = http::parse_socket_address(kernel::socket_address{listen_text});
    const auto target_address = http::parse_socket_address(kernel::socket_address{target_text});
    if (!listen_address || !target_address) {
        std::cerr << "relay: an address is not ip:port\n";
        return 2;
    }
    cut_state cuts;
    http::server_settings settings;
    settings.address = kernel::socket_address{control_text};
    settings.threads = 2;
    const auto control =
        http::server::create(settings, [&cuts](http::server_exchange& exchange) { apply_control(exchange, cuts); });
    const int listener = listen_on(to_sockaddr(*listen_address));
    if (!control || listener < 0) {
        std::cerr << "relay: an address is in use\n";
        return 3;
    }
    std::cout << "listening " << listen_text << std::endl;
    accept_connections(listener, to_sockaddr(*target_address), cuts);
    ::close(listener);
    return 0;
}

} // namespace
} // namespace wisterialane::relay

int main(int argument_count, char** arguments)
{
    if (argument_count != 4) {
        std::cerr << "usage: relay LISTEN_ADDRESS TARGET_ADDRESS CONTROL_ADDRESS\n";
        return 2;
    }
    std::signal(SIGTERM, [](int) { wisterialane::relay::stop_requested = 1; });
    return wisterialane::relay::run(arguments[1], arguments[2], arguments[3]);
}
