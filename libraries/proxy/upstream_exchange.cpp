#include "libraries/proxy/upstream_exchange.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace wisterialane::proxy {
namespace {

namespace http = boost::beast::http;

/// An upstream in trouble may send bytes until its connection is closed.
constexpr std::uint64_t maximum_answer_bytes = 8ULL * 1024 * 1024;
/// Bytes that are read ahead of the parser, as of a chunk's header.
constexpr std::size_t maximum_buffered_bytes = 128 * 1024;
/// Interim answers and answers to earlier requests that are skipped before the request's own.
constexpr unsigned maximum_skipped_answers = 16;
constexpr std::uint32_t maximum_answer_header_bytes = 64 * 1024;
/// A connection whose peer acknowledges nothing for this time is lost: open connections can go silent for good.
constexpr std::chrono::milliseconds unacknowledged_timeout{1000};
/// Idle time that is assumed where the upstream names none.
constexpr std::chrono::milliseconds assumed_idle_time{5000};
/// A request must arrive before the upstream closes, so a connection is given up this much sooner.
constexpr std::chrono::milliseconds idle_margin{1000};
constexpr unsigned first_final_status = 200;

std::chrono::milliseconds idle_time_of(const http_fields& headers)
{
    const std::string_view text{headers[http::field::keep_alive].data(), headers[http::field::keep_alive].size()};
    constexpr std::string_view parameter = "timeout=";
    const auto position = text.find(parameter);
    if (position == std::string_view::npos) {
        return assumed_idle_time;
    }
    int number = 0;
    const auto value = text.substr(position + parameter.size());
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
    return parsed.ec == std::errc{} ? std::chrono::seconds{std::max(0, number)} : assumed_idle_time;
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

void upstream_exchange::start(exchange_request request, handler done)
{
    request_ = std::move(request);
    done_ = std::move(done);
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
    connection_->stream.async_connect(request_.address, [self = shared_from_this()](error_code failed) {
        if (self->finished_) {
            return;
        }
        if (failed) {
            self->finish(exchange_end::not_connected);
            return;
        }
        set_connection_options(self->connection_->stream.socket(), unacknowledged_timeout);
        self->send();
    });
}

void upstream_exchange::send()
{
    sent_ = true;
    connection_->stream.expires_never();
    const std::array<boost::asio::const_buffer, 2> buffers{
        boost::asio::buffer(request_.head), boost::asio::buffer(request_.body.data(), request_.body.size())};
    // The upstream may answer or reset before it has read everything; reading tells which.
    boost::asio::async_write(connection_->stream, buffers, [self = shared_from_this()](error_code failed, std::size_t) {
        self->write_finished_ = !failed;
    });
    receive();
}

void upstream_exchange::receive()
{
    connection_->buffer.max_size(maximum_buffered_bytes);
    parser_.emplace();
    parser_->header_limit(maximum_answer_header_bytes);
    parser_->body_limit(maximum_answer_bytes);
    if (request_.method == http::verb::head) {
        parser_->skip(true);
    }
    http::async_read(connection_->stream, connection_->buffer, *parser_,
                     [self = shared_from_this()](error_code failed, std::size_t) {
                         if (self->finished_) {
                             return;
                         }
                         if (!failed) {
                             self->interpret();
                             return;
                         }
                         const bool begun = self->parser_->got_some();
                         self->finish(begun ? exchange_end::invalid_response : exchange_end::closed);
                     });
}

void upstream_exchange::interpret()
{
    const auto& message = parser_->get();
    if (message.result_int() < first_final_status) {
        skip_answer();
        return;
    }
    const auto id = message.find(names_.request_id);
    const bool unnamed = id == message.end();
    const bool fresh_refusal = unnamed && !result_.reused && message.count(names_.not_executed) > 0;
    if (fresh_refusal || (!unnamed && id->value() == request_.request_id)) {
        accept_answer();
        return;
    }
    // An answer to an earlier request; this request's own may follow.
    if (unnamed || !parser_->keep_alive()) {
        finish(exchange_end::invalid_response);
        return;
    }
    skip_answer();
}

void upstream_exchange::skip_answer()
{
    if (++skipped_answers_ > maximum_skipped_answers) {
        finish(exchange_end::invalid_response);
        return;
    }
    receive();
}

void upstream_exchange::accept_answer()
{
    const bool keep = parser_->keep_alive() && write_finished_ && connection_->buffer.size() == 0;
    auto message = parser_->release();
    result_.response.status = message.result_int();
    result_.response.body = std::move(message.body());
    result_.response.headers = std::move(message.base());
    const auto idle = idle_time_of(result_.response.headers) - idle_margin;
    if (keep && idle > std::chrono::milliseconds{0}) {
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
    const auto done = std::move(done_);
    done(std::move(result_));
}

void upstream_exchange::cancel()
{
    finished_ = true;
    done_ = nullptr;
    if (connection_) {
        error_code ignored;
        connection_->stream.socket().close(ignored);
    }
}

} // namespace wisterialane::proxy
