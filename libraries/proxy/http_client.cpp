#include "libraries/proxy/http_client.h"

#include "libraries/proxy/proxy_events.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace wisterialane::proxy {
namespace {

namespace http = boost::beast::http;

constexpr std::uint64_t maximum_response_bytes = 16ULL * 1024 * 1024;
/// The store responds within milliseconds; after a lost packet a new connection is faster than a retransmission.
constexpr std::chrono::milliseconds connect_timeout{500};
constexpr std::chrono::milliseconds tcp_user_timeout{1500};

std::string serialize(const client_request& request, const tcp::endpoint& server)
{
    std::string message = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + server.address().to_string() +
                          ":" + std::to_string(server.port()) + "\r\n";
    if (!request.body.empty()) {
        message += "Content-Type: application/json\r\n";
    }
    if (request.method != "GET") {
        message += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return message + "\r\n" + request.body;
}

} // namespace

http_client::http_client(io_context& context, tcp::endpoint server, kernel::clock_source clock)
    : context_{context}, server_{std::move(server)}, clock_{std::move(clock)}
{}

void http_client::call(client_request request, completion_handler on_complete)
{
    calls_.push_back({std::move(request), std::move(on_complete)});
    start_next();
}

void http_client::cancel_calls()
{
    calls_.clear();
    close();
    running_ = false;
}

void http_client::stop()
{
    stopped_ = true;
    cancel_calls();
}

void http_client::start_next()
{
    if (running_ || stopped_ || calls_.empty()) {
        return;
    }
    running_ = true;
    if (connection_) {
        send();
    }
    else {
        connect();
    }
}

void http_client::connect()
{
    connection_ = std::make_shared<connection>(context_);
    auto& stream = connection_->stream;
    stream.expires_after(connect_timeout);
    stream.async_connect(server_, while_connected([](http_client& self) {
                             set_connection_options(self.connection_->stream.socket(), tcp_user_timeout);
                             self.send();
                         }));
}

void http_client::send()
{
    const auto& request = calls_.front().request;
    sent_ = clock_();
    connection_->outgoing = serialize(request, server_);
    connection_->stream.expires_after(request.timeout);
    boost::asio::async_write(connection_->stream, boost::asio::buffer(connection_->outgoing),
                             while_connected([](http_client& self) { self.receive(); }));
}

void http_client::receive()
{
    connection_->parser.emplace();
    connection_->parser->body_limit(maximum_response_bytes);
    // A read of the whole message would ignore an announced length above the limit.
    http::async_read_header(connection_->stream, connection_->incoming, *connection_->parser,
                            while_connected([](http_client& self) { self.receive_body(); }));
}

void http_client::receive_body()
{
    http::async_read(connection_->stream, connection_->incoming, *connection_->parser,
                     while_connected([](http_client& self) { self.on_response(); }));
}

void http_client::on_response()
{
    auto& message = connection_->parser->get();
    client_response response{message.result_int(), std::move(message.body()), sent_, std::move(message.base())};
    if (connection_->parser->keep_alive()) {
        connection_->stream.expires_never();
    }
    else {
        close();
    }
    finish(std::move(response));
}

void http_client::close()
{
    if (connection_) {
        connection_->stream.close();
        connection_.reset();
    }
}

void http_client::fail(error_code reason)
{
    close();
    finish(kernel::fail(proxy_event::store_unreachable, reason.message()));
}

void http_client::finish(kernel::result<client_response> outcome)
{
    auto on_complete = std::move(calls_.front().on_complete);
    calls_.pop_front();
    running_ = false;
    on_complete(std::move(outcome));
    start_next();
}

} // namespace wisterialane::proxy
