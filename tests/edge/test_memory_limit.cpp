#include "tests/soak/soak_fleet.h"
#include "tests/stand_ins/edge/upstream_stand_in.h"
#include "tests/support/loopback.h"

#include <algorithm>
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

/// The platform ends a process at 260 MB, as the settings of a `soak_host` say.
constexpr std::size_t memory_limit_kb = 260'000;
constexpr std::uint16_t first_port = 24001;

/// Sends the head of a success, and then blocks until the connection is closed.
class endless_upstream {
public:
    endless_upstream(proxy::io_context& context, const tcp::endpoint& address, std::string framing, std::string block)
        : acceptor_{context.get_executor(), address}, framing_{std::move(framing)}, block_{std::move(block)}
    {
        accept();
    }

    [[nodiscard]] std::size_t sent_bytes() const { return sent_bytes_; }

private:
    struct connection {
        explicit connection(proxy::tcp_stream::socket_type socket) : stream{std::move(socket)} {}

        proxy::tcp_stream stream;
        boost::beast::flat_buffer buffer;
        proxy::http_request request;
        std::string head;
    };

    void accept()
    {
        acceptor_.async_accept([this](error_code failed, proxy::tcp_stream::socket_type socket) {
            if (failed) {
                return;
            }
            const auto from = std::make_shared<connection>(std::move(socket));
            http::async_read(from->stream, from->buffer, from->request, [this, from](error_code ended, std::size_t) {
                if (!ended) {
                    begin(from);
                }
            });
            accept();
        });
    }

    void begin(const std::shared_ptr<connection>& to)
    {
        to->head = "HTTP/1.1 200 OK\r\nWisterialane-Response-Signature: s\r\nWisterialane-Request-Id: " +
                   std::string{to->request["Wisterialane-Request-Id"]} + "\r\n" + framing_ + "\r\n";
        boost::asio::async_write(to->stream, boost::asio::buffer(to->head), [this, to](error_code ended, std::size_t) {
            if (!ended) {
                send_block(to);
            }
        });
    }

    void send_block(const std::shared_ptr<connection>& to)
    {
        boost::asio::async_write(to->stream, boost::asio::buffer(block_),
                                 [this, to](error_code ended, std::size_t count) {
                                     sent_bytes_ += count;
                                     if (!ended) {
                                         send_block(to);
                                     }
                                 });
    }

    proxy::tcp_acceptor acceptor_;
    std::string framing_;
    std::string block_;
    std::size_t sent_bytes_ = 0;
};

/// Sends one request and waits for its response or for the end of the connection.
struct one_request : std::enable_shared_from_this<one_request> {
    explicit one_request(proxy::io_context& context) : stream{context.get_executor()} {}

    void send(const tcp::endpoint& to, std::string bytes)
    {
        outgoing = std::move(bytes);
        stream.async_connect(to, [self = shared_from_this()](error_code failed) {
            if (failed) {
                self->done = true;
                return;
            }
            boost::asio::async_write(self->stream, boost::asio::buffer(self->outgoing),
                                     [self](error_code, std::size_t) {});
            http::async_read(self->stream, self->buffer, self->response, [self](error_code ended, std::size_t) {
                self->done = true;
                self->status = ended ? 0 : self->response.result_int();
            });
        });
    }

    proxy::tcp_stream stream;
    std::string outgoing;
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    unsigned status = 0;
    bool done = false;
};

json make_route(const std::string& service)
{
    return {{"name", service},
            {"route_kind", "non_idempotent"},
            {"public", true},
            {"match", {{"prefix", "/" + service + "/"}}},
            {"action", {{"service", service}, {"timeout", "4000ms"}, {"attempts", 1}}}};
}

std::string make_request(const std::string& service, const std::string& id)
{
    return "POST /" + service + "/1 HTTP/1.1\r\nHost: gateway.example\r\nWisterialane-Request-Id: " + id +
           "\r\nWisterialane-Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\nok";
}

/// A process of the program between callers and two upstreams, of which one sends bytes without end.
struct memory_fixture {
    proxy::io_context context{1};
    kernel::clock_source clock = [] { return kernel::boot_clock::now(); };
    store_stand_in store{context, clock};
    request_tracker tracker;
    std::optional<upstream_stand_in> claims;
    std::unique_ptr<soak::soak_host> host;

    static tcp::endpoint endpoint(std::uint16_t port)
    {
        return *proxy::parse_endpoint(test_support::loopback_address(port));
    }

    memory_fixture()
    {
        const auto store_address = endpoint(first_port);
        REQUIRE(store.listen(store_address));
        const auto claims_address = endpoint(first_port + 1);
        claims.emplace(context, clock, store, tracker,
                       upstream_stand_in::options{"u-claims", "claims", "z0", claims_address,
                                                  test_support::loopback_address(first_port + 1).value(), 20,
                                                  milliseconds{1500}});
        REQUIRE(claims->start());
        const json document{
            {"version", "00000001"},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 67108864},
              {"header_timeout", "3000ms"},
              {"idle_timeout", "15000ms"}}},
            {"listeners", {{{"host", "gateway.example"}, {"policy", {make_route("claims"), make_route("photos")}}}}},
            {"upstreams", {{{"name", "claims"}}, {{"name", "photos"}}}}};
        store.put("op", "config", document.dump());
        const json entry{{"address", test_support::loopback_address(first_port + 2).value()},
                         {"born", 1},
                         {"info", {{"service", "photos"}, {"version", "v1"}, {"zone", "z0"}, {"max_concurrency", 200}}},
                         {"status", {{"state", "ready"}, {"seq", 1}}}};
        store.put("servers", "u-endless", entry.dump());
        host = std::make_unique<soak::soak_host>(context, clock, store_address, "memory", "z0", first_port + 10);
        host->start();
    }

    void run_until(const std::function<bool()>& condition)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds{60};
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < limit);
            context.run_for(milliseconds{10});
        }
    }

    std::shared_ptr<one_request> send(const std::string& service, const std::string& id)
    {
        auto request = std::make_shared<one_request>(context);
        request->send(*proxy::parse_endpoint(kernel::socket_address{host->caller_address()}),
                      make_request(service, id));
        return request;
    }

    /// Waits until a claim is served, so that the host has its configuration and the upstreams.
    void await_service()
    {
        for (int attempt = 0;; ++attempt) {
            const auto first = send("claims", "w" + std::to_string(attempt));
            run_until([&first] { return first->done; });
            if (first->status == 200) {
                return;
            }
            context.run_for(milliseconds{100});
        }
    }
};

} // namespace

// Guards against a process that runs out of memory because a faulty upstream sends bytes without end (reported by
// operators; an announced length beyond the limit was not even bounded for one response): the requests of all others in
// progress ended without a response.
TEST_CASE_FIXTURE(
    memory_fixture,
    "wisterialane edge: upstream sends without end to 60 requests: memory limit kept, claims are answered")
{
    std::string block(64 * 1024, 'x');
    std::string framing;
    SUBCASE("until the connection closes")
    {
        framing = "";
    }
    SUBCASE("in chunks")
    {
        framing = "Transfer-Encoding: chunked\r\n";
        block = "10000\r\n" + block + "\r\n";
    }
    SUBCASE("with a length beyond every limit")
    {
        framing = "Content-Length: 9000000000\r\n";
    }
    CAPTURE(framing);
    const endless_upstream endless{context, endpoint(first_port + 2), framing, block};
    await_service();
    std::deque<std::shared_ptr<one_request>> requests;
    constexpr std::size_t claim_count = 10;
    for (std::size_t index = 0; index < claim_count; ++index) {
        requests.push_back(send("claims", "c" + std::to_string(index)));
    }
    context.run_for(milliseconds{200});
    for (int index = 0; index < 60; ++index) {
        requests.push_back(send("photos", "p" + std::to_string(index)));
    }
    run_until([&requests] {
        return std::all_of(requests.begin(), requests.end(), [](const auto& request) { return request->done; });
    });
    for (std::size_t index = 0; index < requests.size(); ++index) {
        CAPTURE(index);
        CHECK(requests[index]->status == (index < claim_count ? 200 : 502));
    }
    CHECK(endless.sent_bytes() > 0);
    CHECK_FALSE(host->has_exited());
    CHECK(host->peak_memory_kb() > 0);
    CHECK(host->peak_memory_kb() < memory_limit_kb);
    MESSAGE("peak " << host->peak_memory_kb() << " kB, " << endless.sent_bytes() << " bytes sent");
}

} // namespace wisterialane::edge_stand_ins
