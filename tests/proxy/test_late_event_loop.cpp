#include "tests/proxy/host_fixture.h"
#include "tests/proxy/session_fixture.h"

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

constexpr milliseconds idle_timeout{100};
/// Longer than the timeout and its margin.
constexpr milliseconds stall{1300};

const std::string request = "GET /lot HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string first_half = request.substr(0, request.size() / 2);
const std::string second_half = request.substr(request.size() / 2);

caller_limits short_limits()
{
    caller_limits limits;
    limits.idle_timeout = idle_timeout;
    limits.header_timeout = idle_timeout;
    return limits;
}

/// A session on a host whose event loop can stall while bytes of the caller arrive and timeouts pass.
class stalled_session_fixture : public session_fixture {
public:
    stalled_session_fixture() : session_fixture{short_limits()} {}

    /// Sends bytes; the event loop runs only after the stall, when they have arrived and the timeout has passed.
    void send_into_stall(const std::string& bytes)
    {
        caller->write_some(boost::asio::buffer(bytes));
        std::this_thread::sleep_for(stall);
        context.restart();
        context.poll();
    }
};

} // namespace

// Guards against LOST: passed on, then given up by the idle timeout of the time before.
TEST_CASE_FIXTURE(stalled_session_fixture,
                  "caller_session: request and idle timeout due in one turn: the request is answered")
{
    send_into_stall(request);
    run_until([this] { return begun.size() == 1 || closed_for; });
    REQUIRE(begun.size() == 1);
    CHECK_FALSE(closed_for);
    CHECK(disconnects == 0);
    answer(0);
    run_until([this] { return received_bodies().size() == 1 || caller_closed; });
    CHECK(received_bodies() == std::vector<std::string>{"/lot"});
}

TEST_CASE_FIXTURE(stalled_session_fixture,
                  "caller_session: rest of a head and its timeout due in one turn: the request is answered")
{
    send(first_half);
    send_into_stall(second_half);
    run_until([this] { return begun.size() == 1 || closed_for; });
    REQUIRE(begun.size() == 1);
    CHECK_FALSE(closed_for);
    answer(0);
    run_until([this] { return received_bodies().size() == 1 || caller_closed; });
    CHECK(received_bodies() == std::vector<std::string>{"/lot"});
}

// Guards against closing a connection whose request has arrived but is not read: the event loop takes in a limited
// number of ready connections at a time, and handles timeouts before the others.
TEST_CASE_FIXTURE(stalled_session_fixture,
                  "caller_session: 200 requests arrive in a stall after the idle timeout: all are answered")
{
    std::vector<std::unique_ptr<tcp_stream::socket_type>> callers;
    callers.push_back(std::move(caller));
    while (callers.size() < 200) {
        connect();
        callers.push_back(std::move(caller));
    }
    std::this_thread::sleep_for(stall);
    for (const auto& each : callers) {
        each->write_some(boost::asio::buffer(request));
    }
    context.restart();
    context.poll();
    CHECK_FALSE(closed_for);
    CHECK(begun.size() == callers.size());
    CHECK(disconnects == 0);
}

TEST_CASE_FIXTURE(stalled_session_fixture,
                  "caller_session: head is not complete in time: 408 that closes the connection")
{
    send(first_half);
    run_until([this] { return closed_for.has_value(); });
    settle();
    CHECK(received.rfind("HTTP/1.1 408", 0) == 0);
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(closed_for == connection_end::header_timeout);
    CHECK(begun.empty());
}

TEST_CASE_FIXTURE(stalled_session_fixture,
                  "caller_session: no request within the idle timeout: is closed with its reason")
{
    run_until([this] { return closed_for.has_value(); });
    CHECK(closed_for == connection_end::idle_timeout);
    CHECK(cut_requests == 0);
}

TEST_CASE_FIXTURE(stalled_session_fixture,
                  "caller_session: idle timeout raised while the connection is idle: the new one holds")
{
    limits.idle_timeout = seconds{60};
    std::this_thread::sleep_for(stall);
    settle();
    CHECK_FALSE(closed_for);
}

TEST_CASE_FIXTURE(
    host_fixture,
    "proxy_host: newer version lowers the idle timeout: a caller that relies on the older one is answered")
{
    add_upstream("u1", [](const auto& request) { return scripted_response{signed_response(request, "lot")}; });
    start();
    store.configuration->version = kernel::version_number{2};
    store.configuration->limits.idle_timeout = milliseconds{1};
    run_until([this] { return host->environment().routing->version() == kernel::version_number{2}; });
    tcp_stream::socket_type caller{context.get_executor()};
    caller.connect(settings.caller_endpoint);
    caller.non_blocking(true);
    context.run_for(stall);
    const auto bytes = get_request("r1");
    caller.write_some(boost::asio::buffer(bytes));
    std::string received;
    run_until([&] {
        std::string part(4096, ' ');
        error_code error;
        received.append(part, 0, caller.read_some(boost::asio::buffer(part), error));
        return received.find("lot") != std::string::npos || (error && error != boost::asio::error::would_block);
    });
    CHECK(received.find("200 OK") != std::string::npos);
}

} // namespace wisterialane::proxy
