#include "tests/edge/process_fixture.h"

#include <algorithm>
#include <csignal>
#include <deque>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace wisterialane::edge_stand_ins {
namespace {

using std::chrono::milliseconds;

/// A process whose configuration has an idle timeout of one second, and connections that are kept open.
class kept_connections_fixture : public process_fixture {
public:
    kept_connections_fixture()
        : process_fixture{{"kept", 24101, 40, milliseconds{20}, milliseconds{8000}, std::chrono::seconds{30}}}
    {
        start({{"max_header_bytes", 16384},
               {"max_body_bytes", 1048576},
               {"header_timeout", "3000ms"},
               {"idle_timeout", "1000ms"}},
              {"claims"});
    }

    void run_until_answered()
    {
        run_until([this] {
            return std::none_of(connections.begin(), connections.end(),
                                [](const auto& connection) { return connection->waits(); });
        });
    }

    void open_connections(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            connections.push_back(connect());
        }
        run_until_answered();
    }

    void send_on_all(const std::string& prefix)
    {
        for (std::size_t index = 0; index < connections.size(); ++index) {
            connections[index]->send(make_request("claims", prefix + std::to_string(index)));
        }
    }

    std::deque<std::shared_ptr<caller_connection>> connections;
};

} // namespace

// Guards against requests that are passed on and then cut (incident 0011): a host that comes late finds the requests
// and the end of the idle timeout in one turn of its event loop. The pause lasts until the timeout and its margin are
// past.
TEST_CASE_FIXTURE(kept_connections_fixture,
                  "wisterialane edge: paused past the idle timeout, 20 requests come meanwhile: all are answered")
{
    await_service();
    open_connections(20);
    send_on_all("a");
    run_until_answered();
    for (const auto& connection : connections) {
        REQUIRE(connection->status() == 200);
    }

    context.run_for(milliseconds{600});
    host->send_signal(SIGSTOP);
    context.run_for(milliseconds{100});
    send_on_all("b");
    context.run_for(milliseconds{1800});
    for (const auto& connection : connections) {
        REQUIRE(connection->waits());
    }
    host->send_signal(SIGCONT);
    run_until_answered();

    for (std::size_t index = 0; index < connections.size(); ++index) {
        CAPTURE(index);
        CHECK(connections[index]->status() == 200);
    }
    CHECK_FALSE(host->has_exited());
}

} // namespace wisterialane::edge_stand_ins
