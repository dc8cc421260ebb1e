#include "tests/stand_ins/relay/relay_connection.h"

#include <array>
#include <cstddef>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wisterialane::relay {
namespace {

// How soon a direction that is cut or restored, or a stop, takes effect.
constexpr int poll_interval_ms = 10;

bool send_all(int socket, const char* data, std::size_t size)
{
    while (size > 0) {
        const auto sent = ::send(socket, data, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data += sent;
        size -= static_cast<std::size_t>(sent);
    }
    return true;
}

bool copy_once(int from, int to)
{
    std::array<char, 16 * 1024> buffer{};
    const auto count = ::recv(from, buffer.data(), buffer.size(), 0);
    return count > 0 && send_all(to, buffer.data(), static_cast<std::size_t>(count));
}

} // namespace

relay_connection::relay_connection(int client, int server, const cut_state& cuts)
    : client_{client}, server_{server}, cuts_{cuts}, thread_{[this] { run(); }}
{}

relay_connection::~relay_connection()
{
    stopping_ = true;
    thread_.join();
    ::close(client_);
    ::close(server_);
}

void relay_connection::run()
{
    bool open = true;
    while (open && !stopping_) {
        // A negative descriptor is ignored by poll, so a cut direction is not read.
        std::array<pollfd, 2> sockets{pollfd{cuts_.to_server ? -1 : client_, POLLIN, 0},
                                      pollfd{cuts_.to_client ? -1 : server_, POLLIN, 0}};
        if (::poll(sockets.data(), sockets.size(), poll_interval_ms) <= 0) {
            continue;
        }
        if (sockets[0].revents != 0) {
            open = copy_once(client_, server_);
        }
        if (open && sockets[1].revents != 0) {
            open = copy_once(server_, client_);
        }
    }
    ::shutdown(client_, SHUT_RDWR);
    ::shutdown(server_, SHUT_RDWR);
    finished_ = true;
}

} // namespace wisterialane::relay
