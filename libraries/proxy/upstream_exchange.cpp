#include "libraries/proxy/upstream_exchange.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace wisterialane::proxy {
namespace {

namespace http = boost::beast::http;

/// A faulty upstream may send bytes until its connection is closed.
constexpr std::uint64_t maximum_response_bytes = 8ULL * 1024 * 1024;
/// Bytes that are read ahead of the parser, such as those of a chunk's header.
constexpr std::size_t maximum_buffered_bytes = 128 * 1024;
/// Interim responses and responses to earlier requests that are skipped before the request's own response.
constexpr unsigned maximum_skipped_responses = 16;
constexpr std::uint32_t maximum_response_header_bytes = 64 * 1024;
/// A connection fails if sent data is not acknowledged for this time: packets of an open connection can be dropped
/// without a reset.
constexpr std::chrono::milliseconds tcp_user_timeout{1000};
/// Idle time after which an upstream closes a connection, if its response does not state one.
constexpr std::chrono::milliseconds default_idle_time{5000};
/// A connection is no longer used this long before its upstream closes it, so that a request arrives in time.
constexpr std::chrono::milliseconds idle_time_margin{1000};
constexpr unsigned first_final_status = 200;

std::chrono::milliseconds idle_time_of(const http_fields& headers)
{
    const std::string_view text{headers[http::field::keep_alive].data(), headers[http::field::keep_alive].size()};
    constexpr std::string_view parameter = "timeout=";
    const auto position = text.find(parameter);
    if (position == std::string_view::npos) {
        return default_idle_time;
    }
    int number = 0;
    const auto value = text.substr(position + parameter.size());
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
    return parsed.ec == std::errc{} ? std::chrono::seconds{std::max(0, number)} : default_idle_time;
}

} // namespace

std::string_view to_name(exchange_end end)
{
    switch (end) {
    case exchange_end::response_received:
        return "answered";
    case exchange_end::not_connected:
        return "not_connected";
    case exchange_end::closed:
        return "closed";
    case exchange_end::invalid_response:
        break;
    }
    return "unusable";
}

upstream_exchange::upstream_exchange(io_context& context, upstream_connection_pool& connections,
                                     const wire_names& names, kernel::clock_source clock)
    : context_{context}, connections_{connections}, names_{names}, clock_{std::move(clock)}
{}

void upstream_exchange::start(exchange_request request, completion_handler on_complete)
{
    request_ = std::move(request);
    on_complete_ = std::move(on_complete);
    connection_ = connections_.acquire(request_.upstream, clock_());
    if (connection_) {
        result_.reused = true;
        send();
        return;
    }
    connect();
}

void upstream_exchange::connect()
{
    connection_ = std::make_unique<upstream_connection>(context_);
    connection_->stream.expires_after(request_.connect_timeout);
    connection_->stream.async_connect(request_.address, [self = shared_from_this()](error_code error) {
        if (self->finished_) {
            return;
        }
        if (error) {
            self->finish(exchange_end::not_connected);
            return;
        }
        set_connection_options(self->connection_->stream.socket(), tcp_user_timeout);
        self->send();
    });
}

void upstream_exchange::send()
{
    sent_ = true;
    connection_->stream.expires_never();
    const std::array<boost::asio::const_buffer, 2> buffers{
        boost::asio::buffer(request_.head), boost::asio::buffer(request_.body.data(), request_.body.size())};
    // A write error is not final: the upstream may respond before it has read everything, so the read decides.
    boost::asio::async_write(connection_->stream, buffers, [self = shared_from_this()](error_code error, std::size_t) {
        self->write_finished_ = !error;
    });
    receive();
}

void upstream_exchange::receive()
{
    connection_->buffer.max_size(maximum_buffered_bytes);
    parser_.emplace();
    parser_->header_limit(maximum_response_header_bytes);
    parser_->body_limit(maximum_response_bytes);
    if (request_.method == http::verb::head) {
        parser_->skip(true);
    }
    http::async_read(connection_->stream, connection_->buffer, *parser_,
                     [self = shared_from_this()](error_code error, std::size_t) {
                         if (self->finished_) {
                             return;
                         }
                         if (!error) {
                             self->handle_response();
                             return;
                         }
                         const bool response_begun = self->parser_->got_some();
                         self->finish(response_begun ? exchange_end::invalid_response : exchange_end::closed);
                     });
}

void upstream_exchange::handle_response()
{
    const auto& message = parser_->get();
    if (message.result_int() < first_final_status) {
        skip_response();
        return;
    }
    const auto id = message.find(names_.request_id);
    const bool lacks_id = id == message.end();
    const bool refused_on_new_connection = lacks_id && !result_.reused && message.count(names_.not_executed) > 0;
    if (refused_on_new_connection || (!lacks_id && id->value() == request_.request_id)) {
        accept_response();
        return;
    }
    // This is the response to an earlier request; that to this request may follow.
    if (lacks_id || !parser_->keep_alive()) {
        finish(exchange_end::invalid_response);
        return;
    }
    skip_response();
}

void upstream_exchange::skip_response()
{
    if (++skipped_responses_ > maximum_skipped_responses) {
        finish(exchange_end::invalid_response);
        return;
    }
    receive();
}

void upstream_exchange::accept_response()
{
    const bool reusable = parser_->keep_alive() && write_finished_ && connection_->buffer.size() == 0;
    auto message = parser_->release();
    result_.response.status = message.result_int();
    result_.response.body = std::move(message.body());
    result_.response.headers = std::move(message.base());
    const auto idle = idle_time_of(result_.response.headers) - idle_time_margin;
    if (reusable && idle > std::chrono::milliseconds{0}) {
        connection_->usable_until = clock_() + idle;
        connections_.release(request_.upstream, std::move(connection_));
    }
    finish(exchange_end::response_received);
}

void upstream_exchange::finish(exchange_end end)
{
    finished_ = true;
    if (connection_) {
        error_code ignored;
        connection_->stream.socket().close(ignored);
    }
    result_.end = end;
    const auto on_complete = std::move(on_complete_);
    on_complete(std::move(result_));
}

void upstream_exchange::cancel()
{
    finished_ = true;
    on_complete_ = nullptr;
    if (connection_) {
        error_code ignored;
        connection_->stream.socket().close(ignored);
    }
}

} // namespace wisterialane::proxy
