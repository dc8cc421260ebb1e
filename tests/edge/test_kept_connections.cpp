#include "tests/soak/soak_fleet.h"
#include "tests/stand_ins/edge/upstream_stand_in.h"
#include "tests/support/loopback.h"

#include <algorithm>
#include <csignal>
#include <deque>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace wisterialane::edge_stand_ins {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;
using proxy::error_code;
using proxy::tcp;
using std::chrono::milliseconds;

constexpr std::uint16_t first_port = 24101;

/// A caller's connection, on which requests are sent one after the other.
class kept_connection : public std::enable_shared_from_this<kept_connection> {
public:
    explicit kept_connection(proxy::io_context& context) : stream_{context.get_executor()} {}

    void connect(const tcp::endpoint& to)
    {
        waits_ = true;
        stream_.async_connect(to, [self = shared_from_this()](error_code failed) {
            self->waits_ = false;
            self->open_ = !failed;
        });
    }

    /// The status is 0 from here until the response is complete, and stays 0 if the connection ends without one.
    void send(const std::string& id)
    {
        status_ = 0;
        if (!open_) {
            return;
        }
        waits_ = true;
        response_ = {};
        outgoing_ = "POST /claims/1 HTTP/1.1\r\nHost: gateway.example\r\nWisterialane-Request-Id: " + id +
                    "\r\nWisterialane-Deadline-Ms: 8000\r\nContent-Length: 2\r\n\r\nok";
        boost::asio::async_write(stream_, boost::asio::buffer(outgoing_),
                                 [self = shared_from_this()](error_code, std::size_t) {});
        http::async_read(stream_, buffer_, response_, [self = shared_from_this()](error_code ended, std::size_t) {
            self->waits_ = false;
            self->open_ = !ended && self->response_.keep_alive();
            self->status_ = ended ? 0 : self->response_.result_int();
        });
    }

    [[nodiscard]] bool waits() const { return waits_; }

    [[nodiscard]] unsigned status() const { return status_; }

private:
    proxy::tcp_stream stream_;
    std::string outgoing_;
    boost::beast::flat_buffer buffer_;
    http::response<http::string_body> response_;
    unsigned status_ = 0;
    bool waits_ = false;
    bool open_ = false;
};

/// A process of the program whose configuration has an idle timeout of one second, and one upstream.
struct kept_connections_fixture {
    proxy::io_context context{1};
    kernel::clock_source clock = [] { return kernel::boot_clock::now(); };
    store_stand_in store{context, clock};
    request_tracker tracker;
    std::optional<upstream_stand_in> claims;
    std::unique_ptr<soak::soak_host> host;
    std::deque<std::shared_ptr<kept_connection>> connections;

    static tcp::endpoint endpoint(std::uint16_t port)
    {
        return *proxy::parse_endpoint(test_support::loopback_address(port));
    }

    kept_connections_fixture()
    {
        const auto store_address = endpoint(first_port);
        REQUIRE(store.listen(store_address));
        claims.emplace(context, clock, store, tracker,
                       upstream_stand_in::options{"u-claims", "claims", "z0", endpoint(first_port + 1),
                                                  test_support::loopback_address(first_port + 1).value(), 40,
                                                  milliseconds{20}});
        REQUIRE(claims->start());
        const json route{{"name", "claims"},
                         {"route_kind", "non_idempotent"},
                         {"public", true},
                         {"match", {{"prefix", "/claims/"}}},
                         {"action", {{"service", "claims"}, {"timeout", "8000ms"}, {"attempts", 1}}}};
        const json document{{"version", "00000001"},
                            {"limits",
                             {{"max_header_bytes", 16384},
                              {"max_body_bytes", 1048576},
                              {"header_timeout", "3000ms"},
                              {"idle_timeout", "1000ms"}}},
                            {"listeners", {{{"host", "gateway.example"}, {"policy", {route}}}}},
                            {"upstreams", {{{"name", "claims"}}}}};
        store.put("op", "config", document.dump());
        host = std::make_unique<soak::soak_host>(context, clock, store_address, "kept", "z0", first_port + 10);
        host->start();
    }

    void run_until(const std::function<bool()>& condition)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds{30};
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < limit);
            context.run_for(milliseconds{10});
        }
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
            connections.push_back(std::make_shared<kept_connection>(context));
            connections.back()->connect(*proxy::parse_endpoint(kernel::socket_address{host->caller_address()}));
        }
        run_until_answered();
    }

    void send_on_all(const std::string& prefix)
    {
        for (std::size_t index = 0; index < connections.size(); ++index) {
            connections[index]->send(prefix + std::to_string(index));
        }
    }

    /// Waits until a request is served, so that the host has its configuration and the upstream.
    void await_service()
    {
        for (int attempt = 0;; ++attempt) {
            connections.clear();
            open_connections(1);
            send_on_all("w" + std::to_string(attempt) + "-");
            run_until_answered();
            if (connections.front()->status() == 200) {
                connections.clear();
                return;
            }
            context.run_for(milliseconds{100});
        }
    }
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
