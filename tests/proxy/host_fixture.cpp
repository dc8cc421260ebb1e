#include "tests/proxy/host_fixture.h"

#include "tests/support/loopback.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

namespace http = boost::beast::http;

constexpr std::chrono::seconds wait_timeout{20};

tcp::endpoint free_endpoint()
{
    return *parse_endpoint(test_support::free_loopback_address());
}

std::string to_text(const tcp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

traffic_route make_route(const std::string& name, const std::string& prefix, route_semantics semantics)
{
    traffic_route route;
    route.name = kernel::route_name{name};
    route.host_name = "gateway.example";
    route.path_prefix = prefix;
    route.semantics = semantics;
    route.services = {{kernel::service_name{"archive"}, 1}};
    route.timeout = std::chrono::milliseconds{2000};
    route.maximum_attempts = 2;
    return route;
}

traffic_configuration make_configuration()
{
    traffic_configuration configuration;
    configuration.version = kernel::version_number{1};
    configuration.services = {{kernel::service_name{"archive"}, "/health", 100}};
    configuration.routes = {make_route("read", "/read/", route_semantics::idempotent),
                            make_route("write", "/write/", route_semantics::non_idempotent)};
    traffic_customer seller;
    seller.name = kernel::customer_name{"seller"};
    seller.keys = {"key-one"};
    configuration.customers = {seller};
    return configuration;
}

wire_names make_names()
{
    wire_names names;
    names.request_id = "X-Request";
    names.deadline = "X-Deadline";
    names.key = "X-Key";
    names.customer = "X-Customer";
    names.target_upstream = "X-Upstream";
    names.not_executed = "X-Not-Run";
    names.leaving = "X-Leaving";
    names.rate_limit = "X-Limit";
    names.signature = "X-Signature";
    names.address_path = "/addresses";
    names.data_centre_parameter = "dc";
    names.readiness_path = "/ready";
    return names;
}

} // namespace

struct scripted_upstream::connection {
    explicit connection(tcp_stream::socket_type socket) : stream{std::move(socket)} {}

    tcp_stream stream;
    boost::beast::flat_buffer buffer;
    http_request request;
    std::string head;
    std::string outgoing;
};

scripted_upstream::scripted_upstream(io_context& context, std::string id, script responder)
    : context_{context}, id_{std::move(id)}, responder_{std::move(responder)},
      acceptor_{context.get_executor(), tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0}}
{
    accept();
}

upstream_record scripted_upstream::record() const
{
    upstream_record record;
    record.id = kernel::upstream_name{id_};
    record.service = kernel::service_name{"archive"};
    record.address = kernel::socket_address{to_text(acceptor_.local_endpoint())};
    record.data_centre = kernel::data_centre_name{"here"};
    record.slots = 4;
    return record;
}

void scripted_upstream::accept()
{
    acceptor_.async_accept([this](error_code failed, tcp_stream::socket_type socket) {
        if (!failed) {
            read(std::make_shared<connection>(std::move(socket)));
            accept();
        }
    });
}

void scripted_upstream::read(const std::shared_ptr<connection>& from)
{
    from->request = {};
    http::async_read(from->stream, from->buffer, from->request, [this, from](error_code failed, std::size_t) {
        if (failed) {
            ++disconnects;
            return;
        }
        received.push_back(from->request);
        respond(from);
    });
}

void scripted_upstream::respond(const std::shared_ptr<connection>& from)
{
    const auto response = responder_(from->request);
    if (response.never_respond) {
        read(from);
        return;
    }
    from->outgoing = response.bytes;
    if (response.endless) {
        from->head = response.head;
        boost::asio::async_write(from->stream, boost::asio::buffer(from->head),
                                 [this, from](error_code failed, std::size_t) {
                                     if (!failed) {
                                         repeat(from);
                                     }
                                 });
        return;
    }
    boost::asio::async_write(from->stream, boost::asio::buffer(from->outgoing),
                             [this, from, close = response.close](error_code failed, std::size_t) {
                                 if (!failed && !close) {
                                     read(from);
                                 }
                             });
}

void scripted_upstream::repeat(const std::shared_ptr<connection>& from)
{
    boost::asio::async_write(from->stream, boost::asio::buffer(from->outgoing),
                             [this, from](error_code failed, std::size_t sent) {
                                 endless_bytes += sent;
                                 if (!failed) {
                                     repeat(from);
                                 }
                             });
}

void scripted_caller::send(const tcp::endpoint& to, std::string bytes)
{
    outgoing_ = std::move(bytes);
    stream_.async_connect(to, [self = shared_from_this()](error_code failed) {
        REQUIRE_FALSE(failed);
        boost::asio::async_write(self->stream_, boost::asio::buffer(self->outgoing_),
                                 [self](error_code, std::size_t) {});
        http::async_read(self->stream_, self->buffer_, self->parser_, [self](error_code ended, std::size_t) {
            self->done = true;
            if (!ended) {
                self->status = self->parser_.get().result_int();
                self->headers = self->parser_.get().base();
                self->body = self->parser_.get().body();
            }
        });
    });
}

void scripted_caller::disconnect()
{
    stream_.socket().close();
}

in_memory_store::in_memory_store(io_context& context, kernel::clock_source clock)
    : context_{context}, clock_{std::move(clock)}
{}

response_metadata in_memory_store::metadata() const
{
    const auto now = clock_();
    return {now, std::chrono::duration_cast<store_time>(now.time_since_epoch()), store_revision{1}};
}

void in_memory_store::read_configuration(handler<configuration_reading> done)
{
    boost::asio::post(context_, [this, done = std::move(done)] {
        done(configuration_reading{metadata(), configuration, std::nullopt, evacuations});
    });
}

void in_memory_store::await_configuration(store_revision, std::chrono::milliseconds,
                                          handler<configuration_reading> done)
{
    const auto wait_timer = std::make_shared<timer>(context_.get_executor(), std::chrono::milliseconds{20});
    wait_timer->async_wait([this, wait_timer, done = std::move(done)](error_code failed) {
        if (!failed) {
            done(configuration_reading{metadata(), configuration, std::nullopt, evacuations});
        }
    });
}

void in_memory_store::read_upstreams(handler<upstreams_reading> done)
{
    boost::asio::post(context_, [this, done = std::move(done)] {
        done(upstreams_reading{metadata(), upstreams, {}, {}});
    });
}

void in_memory_store::await_upstream_changes(store_revision, std::chrono::milliseconds, handler<upstreams_reading> done)
{
    const auto wait_timer = std::make_shared<timer>(context_.get_executor(), std::chrono::milliseconds{20});
    wait_timer->async_wait([this, wait_timer, done = std::move(done)](error_code failed) {
        if (!failed) {
            done(upstreams_reading{metadata(), upstreams, {}, {}});
        }
    });
}

void in_memory_store::read_hosts(handler<hosts_reading> done)
{
    ++host_reads;
    boost::asio::post(context_, [this, done = std::move(done)] {
        if (hosts) {
            done(hosts_reading{metadata(), *hosts});
            return;
        }
        done(kernel::fail(proxy_event::store_unreachable));
    });
}

void in_memory_store::register_host(const host_record&, handler<response_metadata> done)
{
    ++registrations;
    boost::asio::post(context_, [this, done = std::move(done)] { done(metadata()); });
}

host_fixture::host_fixture() : store{context, [] { return kernel::boot_clock::now(); }}
{
    settings.self.host = kernel::host_name{"host-1"};
    settings.self.data_centre = kernel::data_centre_name{"here"};
    settings.caller_endpoint = free_endpoint();
    settings.readiness_endpoint = free_endpoint();
    settings.addresses_endpoint = free_endpoint();
    settings.peer_endpoint = free_endpoint();
    settings.self.caller_address = kernel::socket_address{to_text(settings.caller_endpoint)};
    settings.self.peer_address = kernel::socket_address{to_text(settings.peer_endpoint)};
    settings.names = make_names();
    settings.render_addresses = [](const auto& addresses, auto) { return addresses.front().value(); };
    store.configuration = make_configuration();
}

scripted_upstream& host_fixture::add_upstream(const std::string& id, scripted_upstream::script responder)
{
    auto& upstream = upstreams.emplace_back(context, id, std::move(responder));
    store.upstreams.push_back(upstream.record());
    return upstream;
}

void host_fixture::start()
{
    host = std::make_unique<proxy_host>(context, settings, store, [] { return kernel::boot_clock::now(); });
    REQUIRE(host->start());
    while (store.configuration && readiness() != 200) {
    }
}

void host_fixture::run_until(const std::function<bool()>& condition)
{
    const auto limit = std::chrono::steady_clock::now() + wait_timeout;
    while (!condition()) {
        REQUIRE(std::chrono::steady_clock::now() < limit);
        context.run_for(std::chrono::milliseconds{5});
    }
}

std::shared_ptr<scripted_caller> host_fixture::send(const std::string& bytes)
{
    auto caller = std::make_shared<scripted_caller>(context);
    caller->send(settings.caller_endpoint, bytes);
    return caller;
}

std::shared_ptr<scripted_caller> host_fixture::call(const std::string& bytes)
{
    auto caller = send(bytes);
    run_until([&caller] { return caller->done; });
    return caller;
}

unsigned host_fixture::readiness()
{
    auto caller = std::make_shared<scripted_caller>(context);
    caller->send(settings.readiness_endpoint, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
    run_until([&caller] { return caller->done; });
    return caller->status;
}

scripted_peer host_fixture::add_peer(peer_channel::handler on_message)
{
    scripted_peer peer{std::make_shared<peer_channel>(context, std::move(on_message)), {}};
    const auto address = test_support::free_loopback_address();
    REQUIRE(peer.channel->open(*parse_endpoint(address)));
    peer.message.sender = settings.self;
    peer.message.sender.host = kernel::host_name{"host-2"};
    peer.message.sender.peer_address = address;
    peer.message.state.instance = kernel::instance_id{"1"};
    return peer;
}

std::size_t host_fixture::received_count() const
{
    std::size_t count = 0;
    for (const auto& upstream : upstreams) {
        count += upstream.received.size();
    }
    return count;
}

std::string signed_response(const http_request& request, const std::string& body, unsigned status,
                            const std::string& more)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Request: " + std::string{request["X-Request"]} +
           "\r\nX-Signature: s\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string not_executed_response(const http_request& request, unsigned status, const std::string& more)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Request: " + std::string{request["X-Request"]} +
           "\r\nX-Not-Run: 1\r\n" + more + "Content-Length: 0\r\n\r\n";
}

std::string get_request(const std::string& id, const std::string& more)
{
    return "GET /read/lot?x=1 HTTP/1.1\r\nHost: gateway.example\r\nX-Request: " + id +
           "\r\nX-Deadline: 1500\r\nX-Key: key-one\r\n" + more + "\r\n";
}

std::string post_request(const std::string& id, const std::string& body, const std::string& more)
{
    return "POST /write/lot HTTP/1.1\r\nHost: gateway.example\r\nX-Request: " + id +
           "\r\nX-Deadline: 1500\r\nX-Key: key-one\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more +
           "\r\n" + body;
}

} // namespace wisterialane::proxy
