#include "tests/edge/process_fixture.h"
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

/// A process between callers and two upstreams, of which one sends bytes without end.
class memory_fixture : public process_fixture {
public:
    memory_fixture()
        : process_fixture{{"memory", first_port, 20, milliseconds{1500}, milliseconds{4000}, std::chrono::seconds{60}}}
    {
        const json entry{{"address", test_support::loopback_address(first_port + 2).value()},
                         {"born", 1},
                         {"info", {{"service", "photos"}, {"version", "v1"}, {"zone", "z0"}, {"max_concurrency", 200}}},
                         {"status", {{"state", "ready"}, {"seq", 1}}}};
        store.put("servers", "u-endless", entry.dump());
        start({{"max_header_bytes", 16384},
               {"max_body_bytes", 67108864},
               {"header_timeout", "3000ms"},
               {"idle_timeout", "15000ms"}},
              {"claims", "photos"});
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
    const endless_upstream endless{context, endpoint(2), framing, block};
    await_service();
    std::deque<std::shared_ptr<caller_connection>> requests;
    constexpr std::size_t claim_count = 10;
    for (std::size_t index = 0; index < claim_count; ++index) {
        requests.push_back(send("claims", "c" + std::to_string(index)));
    }
    context.run_for(milliseconds{200});
    for (int index = 0; index < 60; ++index) {
        requests.push_back(send("photos", "p" + std::to_string(index)));
    }
    run_until([&requests] {
        return std::all_of(requests.begin(), requests.end(), [](const auto& request) { return !request->waits(); });
    });
    for (std::size_t index = 0; index < requests.size(); ++index) {
        CAPTURE(index);
        CHECK(requests[index]->status() == (index < claim_count ? 200 : 502));
    }
    CHECK(endless.sent_bytes() > 0);
    CHECK_FALSE(host->has_exited());
    CHECK(host->peak_memory_kb() > 0);
    CHECK(host->peak_memory_kb() < memory_limit_kb);
    MESSAGE("peak " << host->peak_memory_kb() << " kB, " << endless.sent_bytes() << " bytes sent");
}

} // namespace wisterialane::edge_stand_ins
