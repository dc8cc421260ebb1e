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
    ++generation_;
    calls_.clear();
    if (stream_) {
        stream_->close();
        stream_.reset();
    }
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
    const auto& request = calls_.front().request;
    outgoing_ = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + server_.address().to_string() + ":" +
                std::to_string(server_.port()) + "\r\n";
    if (!request.body.empty()) {
        outgoing_ += "Content-Type: application/json\r\n";
    }
    if (request.method != "GET") {
        outgoing_ += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    outgoing_ += "\r\n" + request.body;
    if (stream_) {
        send();
    }
    else {
        connect();
    }
}

void http_client::connect()
{
    stream_ = std::make_shared<tcp_stream>(context_.get_executor());
    buffer_.clear();
    stream_->expires_after(connect_timeout);
    stream_->async_connect(server_, while_pending([](http_client& self) {
                               set_connection_options(self.stream_->socket(), tcp_user_timeout);
                               self.send();
                           }));
}

void http_client::send()
{
    sent_ = clock_();
    stream_->expires_after(calls_.front().request.timeout);
    boost::asio::async_write(*stream_, boost::asio::buffer(outgoing_),
                             while_pending([](http_client& self) { self.receive(); }));
}

void http_client::receive()
{
    parser_ = std::make_unique<http::response_parser<http::string_body>>();
    parser_->body_limit(maximum_response_bytes);
    http::async_read(*stream_, buffer_, *parser_, while_pending([](http_client& self) { self.on_response(); }));
}

void http_client::on_response()
{
    auto& message = parser_->get();
    const bool reusable = parser_->keep_alive();
    client_response response{message.result_int(), std::move(message.body()), sent_};
    if (!reusable) {
        stream_.reset();
    }
    else {
        stream_->expires_never();
    }
    finish(std::move(response));
}

void http_client::fail(error_code reason)
{
    stream_.reset();
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
