#include "tests/edge/process_fixture.h"

#include "tests/support/loopback.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace wisterialane::edge_stand_ins {

using nlohmann::json;
using proxy::error_code;
using std::chrono::milliseconds;

void caller_connection::connect(const proxy::tcp::endpoint& to)
{
    waits_ = true;
    stream_.async_connect(to, [self = shared_from_this()](error_code failed) {
        self->open_ = !failed;
        self->waits_ = false;
        if (self->open_ && !self->outgoing_.empty()) {
            self->exchange();
        }
    });
}

void caller_connection::send(std::string request)
{
    status_ = 0;
    outgoing_ = std::move(request);
    if (open_) {
        exchange();
    }
}

void caller_connection::exchange()
{
    waits_ = true;
    response_ = {};
    boost::asio::async_write(stream_, boost::asio::buffer(outgoing_),
                             [self = shared_from_this()](error_code, std::size_t) {});
    boost::beast::http::async_read(stream_, buffer_, response_,
                                   [self = shared_from_this()](error_code ended, std::size_t) {
                                       self->waits_ = false;
                                       self->open_ = !ended && self->response_.keep_alive();
                                       self->status_ = ended ? 0 : self->response_.result_int();
                                   });
}

process_fixture::process_fixture(options values) : options_{std::move(values)}
{
    REQUIRE(store.listen(endpoint(0)));
    const auto address = endpoint(1);
    claims.emplace(context, clock, store, tracker,
                   upstream_stand_in::options{"u-claims", "claims", "z0", address,
                                              test_support::loopback_address(address.port()).value(),
                                              options_.claim_slots, options_.claim_time});
    REQUIRE(claims->start());
}

proxy::tcp::endpoint process_fixture::endpoint(std::uint16_t offset) const
{
    return *proxy::parse_endpoint(
        test_support::loopback_address(static_cast<std::uint16_t>(options_.first_port + offset)));
}

json process_fixture::make_route(const std::string& service) const
{
    const auto timeout = std::to_string(options_.request_timeout.count()) + "ms";
    return {{"name", service},
            {"route_kind", "non_idempotent"},
            {"public", true},
            {"match", {{"prefix", "/" + service + "/"}}},
            {"action", {{"service", service}, {"timeout", timeout}, {"attempts", 1}}}};
}

void process_fixture::start(const json& limits, const std::vector<std::string>& services)
{
    auto routes = json::array();
    auto upstreams = json::array();
    for (const auto& service : services) {
        routes.push_back(make_route(service));
        upstreams.push_back({{"name", service}});
    }
    const json document{{"version", "00000001"},
                        {"limits", limits},
                        {"listeners", {{{"host", "gateway.example"}, {"policy", routes}}}},
                        {"upstreams", upstreams}};
    store.put("op", "config", document.dump());
    host = std::make_unique<soak::soak_host>(context, clock, endpoint(0), options_.host_name, "z0",
                                             options_.first_port + 10);
    host->start();
}

void process_fixture::run_until(const std::function<bool()>& condition)
{
    const auto limit = std::chrono::steady_clock::now() + options_.wait_limit;
    while (!condition()) {
        REQUIRE(std::chrono::steady_clock::now() < limit);
        context.run_for(milliseconds{10});
    }
}

std::shared_ptr<caller_connection> process_fixture::connect()
{
    auto connection = std::make_shared<caller_connection>(context);
    connection->connect(*proxy::parse_endpoint(kernel::socket_address{host->caller_address()}));
    return connection;
}

std::shared_ptr<caller_connection> process_fixture::send(const std::string& service, const std::string& id)
{
    auto connection = connect();
    connection->send(make_request(service, id));
    return connection;
}

std::string process_fixture::make_request(const std::string& service, const std::string& id) const
{
    return "POST /" + service + "/1 HTTP/1.1\r\nHost: gateway.example\r\nWisterialane-Request-Id: " + id +
           "\r\nWisterialane-Deadline-Ms: " + std::to_string(options_.request_timeout.count()) +
           "\r\nContent-Length: 2\r\n\r\nok";
}

void process_fixture::await_service()
{
    for (int attempt = 0;; ++attempt) {
        const auto first = send("claims", "w" + std::to_string(attempt));
        run_until([&first] { return !first->waits(); });
        if (first->status() == 200) {
            return;
        }
        context.run_for(milliseconds{100});
    }
}

} // namespace wisterialane::edge_stand_ins
