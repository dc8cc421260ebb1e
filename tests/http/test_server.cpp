#include "libraries/http/client_connection.h"
#include "libraries/http/connection_pool.h"
#include "libraries/http/http_events.h"
#include "libraries/http/server.h"
#include "tests/http/raw_socket.h"

#include <array>
#include <atomic>
#include <memory>
#include <string>

#include <doctest/doctest.h>

namespace wisterialane::http {
namespace {

class server_fixture {
protected:
    server_fixture()
    {
        server_settings settings;
        settings.address = kernel::socket_address{"127.0.0.1:0"};
        settings.threads = 4;
        settings.keep_alive_timeout = std::chrono::milliseconds{500};
        auto created = server::create(settings, [this](server_exchange& exchange) { handle(exchange); });
        REQUIRE(created);
        server_ = std::move(*created);
    }

    void handle(server_exchange& exchange)
    {
        ++handled_;
        const auto body = exchange.read_whole_body(10'000'000);
        if (!body) {
            return;
        }
        if (exchange.head().target == "/cut") {
            (void)exchange.start_response({200, {}}, {body_framing::length, 100});
            (void)exchange.write_body("only this");
            return;
        }
        if (exchange.head().target == "/cut-chunked") {
            (void)exchange.start_response({200, {}}, {body_framing::chunked, 0});
            (void)exchange.write_body("only this");
            return;
        }
        (void)exchange.respond(200, {}, exchange.head().method + " " + exchange.head().target + " " + *body);
    }

    kernel::result<buffered_response> get(const std::string& target)
    {
        return fetch(server_->address(), {"GET", target, {}}, "", std::chrono::seconds{5});
    }

    std::atomic<int> handled_{0};
    std::unique_ptr<server> server_;
};

// Guards against request smuggling: two readers must never disagree where a request ends.
TEST_CASE_FIXTURE(server_fixture, "server: ambiguous framing: refuses with 400 and closes")
{
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";
    for (const std::string headers : {
             "Content-Length: 3\r\nContent-Length: 5\r\n",
             "Content-Length: 3\r\nContent-Length: 3\r\n",
             "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
             "Content-Length: +3\r\n",
             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
         }) {
        CAPTURE(headers);
        const auto answer =
            send_raw(server_->address(), "POST /a HTTP/1.1\r\nHost: x\r\n" + headers + "\r\nabc" + hidden);
        CHECK(answer.find(" 400 ") != std::string::npos);
        CHECK(answer.find("/hidden") == std::string::npos);
        CHECK(answer.find("200 OK") == std::string::npos);
    }
    CHECK(handled_ == 0);
}

// Guards against unbounded memory for one caller.
TEST_CASE_FIXTURE(server_fixture, "server: oversized header: refuses with 4xx and closes")
{
    const auto answer =
        send_raw(server_->address(), "GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(20'000, 'a') + "\r\n\r\n");
    CHECK(answer.find(" 4") != std::string::npos);
    CHECK(handled_ == 0);
}

// Guards against taking a cut upload for a whole one.
TEST_CASE_FIXTURE(server_fixture, "server: caller stops inside its body: no response is sent")
{
    const auto answer = send_raw(server_->address(), "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc");
    CHECK(answer.empty());
}

TEST_CASE_FIXTURE(server_fixture, "server: target: is passed on undecoded with its query")
{
    const auto answer = get("/a%20b?x=%41");
    REQUIRE(answer);
    CHECK(answer->body == "GET /a%20b?x=%41 ");
}

// Guards against a short answer that is taken for a success.
TEST_CASE_FIXTURE(server_fixture, "client_connection: answer cut: fails with body_cut")
{
    for (const std::string target : {"/cut", "/cut-chunked"}) {
        CAPTURE(target);
        const auto answer = get(target);
        REQUIRE_FALSE(answer);
        CHECK(answer.error().is(http_event::body_cut));
    }
}

TEST_CASE_FIXTURE(server_fixture, "client_connection: large body: arrives whole on a reused connection")
{
    auto connection = client_connection::connect(server_->address());
    REQUIRE(connection);
    const std::string body(2'000'000, 'p');
    for (int round = 0; round < 3; ++round) {
        const auto answer = exchange(**connection, {"POST", "/", {}}, body, std::chrono::seconds{5});
        REQUIRE(answer);
        CHECK(answer->body == "POST / " + body);
        CHECK((*connection)->reusable());
    }
}

// Guards against reading the rest of one answer as the next one.
TEST_CASE_FIXTURE(server_fixture, "connection_pool: exchange unfinished: closes the connection")
{
    connection_pool pool{std::chrono::seconds{60}};
    const auto now = kernel::time_point{};
    auto connection = pool.acquire(server_->address(), connection_reuse::allowed, now);
    REQUIRE(connection);
    REQUIRE((*connection)->send_head({"GET", "/", {}}, {}));
    REQUIRE((*connection)->finish_request());
    REQUIRE((*connection)->receive_head(std::chrono::seconds{5}));
    CHECK_FALSE((*connection)->reusable());
    pool.release(std::move(*connection), now);
    auto second = pool.acquire(server_->address(), connection_reuse::allowed, now);
    REQUIRE(second);
    const auto answer = exchange(**second, {"GET", "/other", {}}, "", std::chrono::seconds{5});
    REQUIRE(answer);
    CHECK(answer->body == "GET /other ");
}

// Guards against using a connection that the server is about to close.
TEST_CASE_FIXTURE(server_fixture, "connection_pool: idle for too long: opens a new connection")
{
    connection_pool pool{std::chrono::seconds{2}};
    auto now = kernel::time_point{};
    auto connection = pool.acquire(server_->address(), connection_reuse::allowed, now);
    REQUIRE(connection);
    REQUIRE(exchange(**connection, {"GET", "/", {}}, "", std::chrono::seconds{5}));
    pool.release(std::move(*connection), now);
    now += std::chrono::seconds{3};
    auto second = pool.acquire(server_->address(), connection_reuse::allowed, now);
    REQUIRE(second);
    CHECK(exchange(**second, {"GET", "/", {}}, "", std::chrono::seconds{5}));
}

// Guards against waiting for ever on a connection that has gone silent.
TEST_CASE("client_connection: silent server: fails with receive_timeout")
{
    const raw_listener listener;
    auto connection = client_connection::connect(listener.address());
    REQUIRE(connection);
    const auto answer = exchange(**connection, {"GET", "/", {}}, "", std::chrono::milliseconds{100});
    REQUIRE_FALSE(answer);
    CHECK(answer.error().is(http_event::receive_timeout));
    CHECK_FALSE((*connection)->reusable());
}

// Guards against an answer whose end cannot be told from a cut connection.
TEST_CASE("client_connection: answer without length: fails with body_length_unknown")
{
    raw_listener listener;
    listener.answer_next("HTTP/1.1 200 OK\r\n\r\nuntil the end");
    const auto answer = fetch(listener.address(), {"GET", "/", {}}, "", std::chrono::seconds{5});
    REQUIRE_FALSE(answer);
    CHECK(answer.error().is(http_event::body_length_unknown));
}

// Guards against taking an interim response for the answer. CivetWeb's client drops the bytes that follow an interim
// response in the same packet, so the exchange fails instead.
TEST_CASE("client_connection: interim response: fails with interim_response")
{
    raw_listener listener;
    listener.answer_next("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    const auto answer = fetch(listener.address(), {"GET", "/", {}}, "", std::chrono::seconds{5});
    REQUIRE_FALSE(answer);
    CHECK(answer.error().is(http_event::interim_response));
}

TEST_CASE("server: address in use: fails with address_in_use")
{
    const raw_listener listener;
    server_settings settings;
    settings.address = listener.address();
    const auto created = server::create(settings, [](server_exchange&) {});
    REQUIRE_FALSE(created);
    CHECK(created.error().is(http_event::address_in_use));
}

} // namespace
} // namespace wisterialane::http
