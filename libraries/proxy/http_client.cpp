#include "libraries/proxy/http_client.h"

#include "libraries/proxy/proxy_events.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace wisterialane::proxy {
namespace {

namespace http = boost::beast::http;

constexpr std::uint64_t maximum_answer_bytes = 16ULL * 1024 * 1024;
/// The store is a few milliseconds away; a lost packet is sent again sooner by a new connection.
constexpr std::chrono::milliseconds connect_timeout{500};
constexpr std::chrono::milliseconds unacknowledged_timeout{1500};

} // namespace

http_client::http_client(io_context& context, tcp::endpoint server, kernel::clock_source clock)
    : context_{context}, server_{std::move(server)}, clock_{std::move(clock)}
{}

void http_client::call(client_request request, handler done)
{
    calls_.push_back({std::move(request), std::move(done)});
    start_next();
}

void http_client::stop()
{
    stopped_ = true;
    calls_.clear();
    stream_.reset();
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
    stream_ = std::make_unique<tcp_stream>(context_.get_executor());
    buffer_.clear();
    stream_->expires_after(connect_timeout);
    stream_->async_connect(server_, [self = shared_from_this()](error_code failed) {
        if (self->stopped_) {
            return;
        }
        if (failed) {
            self->fail(failed);
            return;
        }
        set_connection_options(self->stream_->socket(), unacknowledged_timeout);
        self->send();
    });
}

void http_client::send()
{
    sent_ = clock_();
    stream_->expires_after(calls_.front().request.timeout);
    boost::asio::async_write(*stream_, boost::asio::buffer(outgoing_),
                             [self = shared_from_this()](error_code failed, std::size_t) {
                                 if (self->stopped_) {
                                     return;
                                 }
                                 if (failed) {
                                     self->fail(failed);
                                     return;
                                 }
                                 self->receive();
                             });
}

void http_client::receive()
{
    parser_ = std::make_unique<http::response_parser<http::string_body>>();
    parser_->body_limit(maximum_answer_bytes);
    http::async_read(*stream_, buffer_, *parser_, [self = shared_from_this()](error_code failed, std::size_t) {
        if (self->stopped_) {
            return;
        }
        if (failed) {
            self->fail(failed);
            return;
        }
        auto& message = self->parser_->get();
        const bool keep = self->parser_->keep_alive();
        client_response response{message.result_int(), std::move(message.body()), self->sent_};
        if (!keep) {
            self->stream_.reset();
        }
        else {
            self->stream_->expires_never();
        }
        self->finish(std::move(response));
    });
}

void http_client::fail(error_code reason)
{
    stream_.reset();
    finish(kernel::fail(proxy_event::store_unreachable, reason.message()));
}

void http_client::finish(kernel::result<client_response> outcome)
{
    auto done = std::move(calls_.front().done);
    calls_.pop_front();
    running_ = false;
    done(std::move(outcome));
    start_next();
}

} // namespace wisterialane::proxy
