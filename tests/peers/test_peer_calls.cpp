#include "libraries/peers/peer_client.h"
#include "libraries/peers/peer_server.h"
#include "libraries/peers/peers_events.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wisterialane::peers {
namespace {

const kernel::socket_address any_port{"127.0.0.1:0"};

/// Accepts connections into its backlog and never answers.
class silent_listener {
public:
    silent_listener() : handle_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        REQUIRE(::bind(handle_, reinterpret_cast<const sockaddr*>(&address), length) == 0);
        REQUIRE(::listen(handle_, 8) == 0);
        REQUIRE(::getsockname(handle_, reinterpret_cast<sockaddr*>(&address), &length) == 0);
        address_ = kernel::socket_address{"127.0.0.1:" + std::to_string(ntohs(address.sin_port))};
    }

    silent_listener(const silent_listener&) = delete;
    silent_listener& operator=(const silent_listener&) = delete;

    ~silent_listener() { ::close(handle_); }

    [[nodiscard]] const kernel::socket_address& address() const { return address_; }

private:
    int handle_;
    kernel::socket_address address_;
};

class call_fixture {
protected:
    std::unique_ptr<peer_server> start_server(const kernel::socket_address& address = any_port)
    {
        auto started = peer_server::start(
            address, codec_,
            [](const kernel::instance_id&, const message_content&) -> kernel::result<message_content> {
                return record_response{"answer", {}};
            },
            server_traffic_);
        REQUIRE(started);
        return std::move(*started);
    }

    traffic_counters server_traffic_;
    traffic_counters client_traffic_;
    envelope_codec codec_{fleet_secret{"secret"}, kernel::instance_id{"0123456789abcdef"}};
};

// Guards against a connection that went silent for good and is used again.
TEST_CASE_FIXTURE(call_fixture, "peer_client: silent peer: times out and retires the channel")
{
    const silent_listener silent;
    peer_client client{codec_, client_traffic_, std::chrono::milliseconds{200}};
    const auto response = client.call(silent.address(), record_request{});
    REQUIRE_FALSE(response);
    CHECK(response.error().is(peers_event::call_timeout));
    CHECK(client_traffic_.channels_retired == 1);
    CHECK(client.channel_count() == 0);
}

// Guards against channels that add up while hosts come and go, and against a client that does not find a new server.
TEST_CASE_FIXTURE(call_fixture, "peer_client: many peers: keeps a bounded number of channels")
{
    peer_client client{codec_, client_traffic_, std::chrono::milliseconds{5000}, 2};
    auto server = start_server();
    const auto address = server->address();
    for (const auto& other : {start_server(), start_server(), start_server()}) {
        CHECK(client.call(other->address(), record_request{}));
    }
    CHECK(client.channel_count() == 2);
    REQUIRE(client.call(address, record_request{}));
    server.reset();
    CHECK_FALSE(client.call(address, record_request{}));
    server = start_server(address);
    CHECK(client.call(address, record_request{}));
    CHECK(client_traffic_.bytes_sent > 0);
    CHECK(client_traffic_.bytes_received > 0);
}

// Guards against two instances at one address, which would invalidate the claim that the earlier one has stopped.
TEST_CASE_FIXTURE(call_fixture, "peer_server: address in use: fails to start")
{
    const auto server = start_server();
    const auto second = peer_server::start(
        server->address(), codec_,
        [](const kernel::instance_id&, const message_content&) -> kernel::result<message_content> {
            return record_response{};
        },
        server_traffic_);
    REQUIRE_FALSE(second);
    CHECK(second.error().is(peers_event::listen_failed));
}

} // namespace
} // namespace wisterialane::peers
