#include "tests/proxy/host_fixture.h"
#include "tests/proxy/session_fixture.h"

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

namespace http = boost::beast::http;

std::string get(const std::string& id, const std::string& more = {})
{
    return "GET /" + id + " HTTP/1.1\r\nHost: a\r\n" + more + "\r\n";
}

std::string post(const std::string& id, const std::string& body)
{
    return "POST /" + id + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string post_in_chunks(const std::string& id)
{
    return "POST /" + id + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
           "3\r\nabc\r\n5\r\ndefgh\r\n0\r\n\r\n";
}

using bodies = std::vector<std::string>;

} // namespace

TEST_CASE_FIXTURE(session_fixture, "pipelining: repeatable requests: begin together, answered in the order of requests")
{
    send(get("a") + get("b") + get("c"));
    run_until([this] { return begun.size() == 3; });
    answer(2);
    answer(0);
    run_until([this] { return received_bodies() == bodies{"/a"}; });
    answer(1);
    run_until([this] { return received_bodies() == bodies{"/a", "/b", "/c"}; });
    CHECK_FALSE(caller_closed);
    send(get("d"));
    run_until([this] { return begun.size() == 4; });
}

// Guards against a second execution: the caller of a request that is behind a response that closes sends it again.
TEST_CASE_FIXTURE(session_fixture,
                  "pipelining: request that must not be repeated: begins when earlier ones are answered")
{
    send(get("a") + post("b", "x") + get("c"));
    run_until([this] { return begun.size() == 1; });
    settle();
    CHECK(begun.size() == 1);
    answer(0);
    run_until([this] { return begun.size() == 3; });
    CHECK(target(1) == "/b");
    CHECK(target(2) == "/c");
    answer(2);
    answer(1);
    run_until([this] { return received_bodies() == bodies{"/a", "/b", "/c"}; });
}

TEST_CASE_FIXTURE(session_fixture, "pipelining: requests cut at every byte: are read whole and in order")
{
    const auto bytes = post("a", "body\r\n\r\nGET") + post_in_chunks("b") + get("c") + post("d", "") + get("e");
    on_begin = [](auto& exchange) { exchange.respond({200, {}, std::string{exchange.request().target()}, false}); };
    for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
        CAPTURE(cut);
        begun.clear();
        received.clear();
        connect();
        send(bytes.substr(0, cut));
        send(bytes.substr(cut));
        run_until([this] { return received_bodies() == bodies{"/a", "/b", "/c", "/d", "/e"}; });
        REQUIRE(begun.size() == 5);
        CHECK(begun[0]->request().body() == "body\r\n\r\nGET");
        CHECK(begun[1]->request().body() == "abcdefgh");
        CHECK(begun[2]->request().body().empty());
    }
}

TEST_CASE_FIXTURE(session_fixture, "pipelining: refusal in the middle: comes in its turn and the connection stays open")
{
    on_begin = [](auto& exchange) {
        if (exchange.request().target() == "/b") {
            exchange.respond({503, {}, "/b", false});
        }
    };
    send(get("a") + get("b") + get("c"));
    run_until([this] { return begun.size() == 3; });
    answer(2);
    settle();
    CHECK(received.empty());
    answer(0);
    run_until([this] { return received_bodies() == bodies{"/a", "/b", "/c"}; });
    CHECK(received.find("503") != std::string::npos);
    CHECK_FALSE(caller_closed);
}

TEST_CASE_FIXTURE(session_fixture, "pipelining: request that closes in the middle: its response is the last one")
{
    send(get("a") + get("b", "Connection: close\r\n") + get("c"));
    run_until([this] { return begun.size() == 2; });
    answer(1);
    answer(0);
    run_until([this] { return caller_closed; });
    CHECK(received_bodies() == bodies{"/a", "/b"});
    CHECK(begun.size() == 2);
    CHECK(received.find("Connection: close") > received.find("/a"));
}

// Guards against a request that is cut without an answer although it was passed on, in a planned stop.
TEST_CASE_FIXTURE(session_fixture,
                  "pipelining: stop of the host: all requests that have begun are answered, none begins")
{
    send(get("a") + get("b"));
    run_until([this] { return begun.size() == 2; });
    draining = true;
    send(get("c") + get("d"));
    settle();
    CHECK(begun.size() == 2);
    answer(0);
    run_until([this] { return received_bodies() == bodies{"/a"}; });
    CHECK(received.find("Connection: close") == std::string::npos);
    answer(1);
    run_until([this] { return caller_closed; });
    CHECK(received_bodies() == bodies{"/a", "/b"});
    CHECK(begun.size() == 2);
}

TEST_CASE_FIXTURE(session_fixture,
                  "pipelining: caller that does not read: few requests are held, all end when it leaves")
{
    reads = false;
    std::string bytes;
    for (int index = 0; index < 1000; ++index) {
        bytes += get("r" + std::to_string(index));
    }
    send(bytes);
    settle();
    constexpr std::size_t maximum_held_requests = 8;
    CHECK(begun.size() == maximum_held_requests);
    caller->close();
    run_until([this] { return disconnects == static_cast<int>(maximum_held_requests); });
    CHECK(begun.size() == maximum_held_requests);
}

// Guards against work for callers that have left: bytes of a further request hid the end of the connection.
TEST_CASE_FIXTURE(session_fixture, "pipelining: caller leaves after a part of a further request: its requests end")
{
    send(get("a") + post("b", "x") + "GET /c HT");
    run_until([this] { return begun.size() == 1; });
    caller->close();
    run_until([this] { return disconnects == 1; });
    settle();
    CHECK(begun.size() == 1);
}

TEST_CASE_FIXTURE(session_fixture,
                  "pipelining: malformed request behind good ones: they are answered, then 400 and close")
{
    send(get("a") + get("b") + "nonsense\r\n\r\n" + get("c"));
    run_until([this] { return begun.size() == 2; });
    answer(1);
    settle();
    CHECK(received.empty());
    answer(0);
    run_until([this] { return caller_closed; });
    CHECK(received_bodies() == bodies{"/a", "/b", ""});
    CHECK(received.find("HTTP/1.1 400") != std::string::npos);
    CHECK(begun.size() == 2);
}

TEST_CASE_FIXTURE(session_fixture, "pipelining: large responses that wait: no further request begins")
{
    send(get("a") + get("b"));
    run_until([this] { return begun.size() == 2; });
    begun[1]->respond({200, {}, std::string(300000, 'x'), false});
    send(get("c"));
    settle();
    CHECK(begun.size() == 2);
    answer(0);
    run_until([this] { return begun.size() == 3; });
}

TEST_CASE_FIXTURE(session_fixture, "pipelining: response that waits for an earlier one: its time is recorded")
{
    send(get("a") + get("b"));
    run_until([this] { return begun.size() == 2; });
    answer(1);
    now += milliseconds{40};
    answer(0);
    run_until([this] { return received_bodies().size() == 2; });
    REQUIRE(waits.size() == 1);
    CHECK(waits[0] == milliseconds{40});
}

TEST_CASE_FIXTURE(session_fixture, "pipelining: interim response: comes after the responses to earlier requests")
{
    send(get("a") + "POST /b HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
    run_until([this] { return begun.size() == 1; });
    settle();
    CHECK(received.empty());
    answer(0);
    run_until([this] { return received.find("100 Continue") != std::string::npos; });
    CHECK(received.find("100 Continue") > received.find("/a"));
    send("x");
    run_until([this] { return begun.size() == 2; });
    answer(1);
    run_until([this] { return received_bodies().back() == "/b"; });
}

namespace {

/// Sends all its requests at once and reads their responses.
class pipelining_caller : public std::enable_shared_from_this<pipelining_caller> {
public:
    explicit pipelining_caller(io_context& context) : stream_{context.get_executor()} {}

    void send(const tcp::endpoint& to, std::string bytes)
    {
        outgoing_ = std::move(bytes);
        stream_.async_connect(to, [self = shared_from_this()](error_code failed) {
            REQUIRE_FALSE(failed);
            boost::asio::async_write(self->stream_, boost::asio::buffer(self->outgoing_),
                                     [self](error_code, std::size_t) {});
            self->read();
        });
    }

    std::vector<http::response<http::string_body>> responses;

private:
    void read()
    {
        response_ = {};
        http::async_read(stream_, buffer_, response_, [self = shared_from_this()](error_code failed, std::size_t) {
            if (!failed) {
                self->responses.push_back(std::move(self->response_));
                self->read();
            }
        });
    }

    tcp_stream stream_;
    std::string outgoing_;
    boost::beast::flat_buffer buffer_;
    http::response<http::string_body> response_;
};

} // namespace

// Guards against an answer that reaches another request of its connection, and a request that runs for the customer of
// the request before it.
TEST_CASE_FIXTURE(host_fixture, "pipelining: 1,000 requests of two customers by turns: each gets its own response")
{
    const auto echo = [](const http_request& request) {
        const auto body = std::string{request["X-Request"]} + " of " + std::string{request["X-Customer"]};
        return scripted_response{signed_response(request, body)};
    };
    add_upstream("u1", echo);
    add_upstream("u2", echo);
    traffic_customer trader;
    trader.name = kernel::customer_name{"trader"};
    trader.keys = {"key-two"};
    store.configuration->customers.push_back(trader);
    store.configuration->routes.front().timeout = seconds{20};
    start();
    std::string bytes;
    constexpr std::size_t count = 1000;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string key = index % 2 == 0 ? "key-one" : "key-two";
        bytes += "GET /read/lot HTTP/1.1\r\nHost: gateway.example\r\nX-Deadline: 20000\r\nX-Request: r" +
                 std::to_string(index) + "\r\nX-Key: " + key + "\r\n\r\n";
    }
    const auto caller = std::make_shared<pipelining_caller>(context);
    caller->send(settings.caller_endpoint, bytes);
    run_until([&caller] { return caller->responses.size() == count; });
    for (std::size_t index = 0; index < count; ++index) {
        CAPTURE(index);
        const auto& response = caller->responses[index];
        const std::string customer = index % 2 == 0 ? "seller" : "trader";
        CHECK(response["X-Request"] == "r" + std::to_string(index));
        CHECK(response.result_int() == 200);
        CHECK(response.body() == "r" + std::to_string(index) + " of " + customer);
    }
}

} // namespace wisterialane::proxy
