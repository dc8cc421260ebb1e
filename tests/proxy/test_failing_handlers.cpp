#include "libraries/proxy/peer_channel.h"
#include "tests/proxy/host_fixture.h"

#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>

#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A host whose handlers fail with an exception while the test says so, because its clock does. As in the program, the
/// event loop goes on after a handler that failed.
class failing_host_fixture : public host_fixture {
public:
    failing_host_fixture()
    {
        add_upstream("first", answer);
        host = std::make_unique<proxy_host>(context, settings, store, [this] {
            if (failing) {
                ++failures;
                throw std::runtime_error{"clock"};
            }
            return kernel::boot_clock::now();
        });
        REQUIRE(host->start());
        while (readiness() != 200) {
        }
    }

    void run_for(milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            try {
                context.run_for(milliseconds{5});
            }
            catch (const std::runtime_error&) {
                // The handler has failed, as it should.
            }
        }
    }

    void fail_for(milliseconds time)
    {
        failing = true;
        run_for(time);
        failing = false;
        REQUIRE(failures > 0);
    }

    static scripted_response answer(const http_request& request) { return {signed_response(request, "ok")}; }

    bool failing = false;
    int failures = 0;
};

} // namespace

// Guards against a host that runs and takes no connections.
TEST_CASE_FIXTURE(failing_host_fixture, "host: session fails to start: further connections are accepted")
{
    const auto cut = send(get_request("r1"));
    fail_for(milliseconds{300});
    CHECK(call(get_request("r2"))->status == 200);
}

// Guards against a host that runs and no longer reads the store.
TEST_CASE_FIXTURE(failing_host_fixture, "host: handlers of the store fail for a while: the store is read again")
{
    fail_for(milliseconds{1500});
    const auto& added = add_upstream("second", answer);
    run_for(seconds{3});
    CHECK(readiness() == 200);
    for (int number = 0; number < 4; ++number) {
        CHECK(call(get_request("r" + std::to_string(number)))->status == 200);
    }
    CHECK_FALSE(added.received.empty());
}

// Guards against a host that runs and that the others take for dead.
TEST_CASE_FIXTURE(failing_host_fixture, "host: handlers of ticks and messages fail for a while: both go on")
{
    auto peer = settings.self;
    peer.host = kernel::host_name{"host-2"};
    const tcp::endpoint peer_address{boost::asio::ip::address_v4{{127, 0, 0, 77}}, settings.peer_endpoint.port()};
    peer.peer_address = kernel::socket_address{"127.0.0.77:" + std::to_string(peer_address.port())};
    int received = 0;
    const auto channel = std::make_shared<peer_channel>(context, [&received](const auto&) { ++received; });
    REQUIRE(channel->open(peer_address));
    const auto send_state = [&] {
        channel->send(
            {peer, {kernel::instance_id{"1"}, true, true, 0, {}}, {}, std::nullopt, std::nullopt, std::nullopt},
            {settings.self.peer_address});
    };
    send_state();
    fail_for(milliseconds{700});
    CHECK(received == 0);
    send_state();
    run_until([&received] { return received > 1; });
}

} // namespace wisterialane::proxy
