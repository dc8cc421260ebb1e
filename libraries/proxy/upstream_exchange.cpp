#include "libraries/proxy/upstream_exchange.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace wisterialane::proxy {
namespace {

namespace http = boost::beast::http;

/// A faulty upstream may send bytes until its connection is closed.
constexpr std::size_t maximum_response_bytes = std::size_t{8} * 1024 * 1024;
/// Memory of a response whose length is not known. When half of it is used, it is enlarged to twice the size.
constexpr std::size_t initial_response_bytes = std::size_t{16} * 1024;
constexpr std::size_t growth_factor = 2;
/// A small message with its head.
constexpr std::size_t maximum_small_response_bytes = small_message_bytes + initial_response_bytes;
/// Bytes that are read ahead of the parser, such as those of a chunk's header.
constexpr std::size_t maximum_buffered_bytes = 128 * 1024;
/// Interim responses and responses to earlier requests that are skipped before the request's own response.
constexpr unsigned maximum_skipped_responses = 16;
constexpr std::uint32_t maximum_response_header_bytes = 64 * 1024;
/// A connection fails if sent data is not acknowledged for this time: packets of an open connection can be dropped
/// without a reset.
constexpr std::chrono::milliseconds tcp_user_timeout{1000};
/// Size up to which the receive buffer of an upstream takes a body that it does not read.
constexpr std::size_t minimum_receive_buffer_bytes = std::size_t{16} * 1024;
/// Idle time after which an upstream closes a connection, if its response does not state one.
constexpr std::chrono::milliseconds default_idle_time{5000};
/// A connection is no longer used this long before its upstream closes it, so that a request arrives in time.
constexpr std::chrono::milliseconds idle_time_margin{1000};
constexpr unsigned first_status = 100;
constexpr unsigned first_final_status = 200;
constexpr unsigned last_status = 599;

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

// The longest response. A host with little memory accepts only shorter ones, so that one of them can be received while
// others have begun.
std::size_t body_limit(const memory_budget& memory)
{
    return std::min(maximum_response_bytes, memory.capacity(memory_use::large_response) / 3);
}

std::size_t size_of(const http_fields& headers)
{
    std::size_t size = 0;
    for (const auto& header : headers) {
        size += sizeof(header) + header.name_string().size() + header.value().size();
    }
    return size;
}

} // namespace

std::string_view to_name(exchange_end end)
{
    switch (end) {
    case exchange_end::response_received:
        return "answered";
    case exchange_end::not_connected:
        return "not_connected";
    case exchange_end::withdrawn:
        return "withdrawn";
    case exchange_end::closed:
        return "closed";
    case exchange_end::invalid_response:
        break;
    }
    return "unusable";
}

upstream_exchange::upstream_exchange(io_context& context, upstream_connection_pool& connections,
                                     const wire_names& names, memory_budget& memory, kernel::clock_source clock)
    : context_{context}, connections_{connections}, names_{names}, memory_{memory}, clock_{std::move(clock)}
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
        if (!self->request_.may_send()) {
            self->finish(exchange_end::withdrawn);
            return;
        }
        self->send();
    });
}

// The kernel applies the timeout also while the upstream does not read, although it acknowledges the probes. That is no
// failure: the upstream may be working on the first part of the body. So it does not apply to bodies that may fill the
// upstream's receive buffer; they have until the deadline.
void upstream_exchange::set_user_timeout()
{
    const bool may_fill_buffer = request_.body.size() > minimum_receive_buffer_bytes;
    const auto timeout = may_fill_buffer ? std::max(tcp_user_timeout, request_.time_left) : tcp_user_timeout;
    if (timeout != connection_->user_timeout) {
        set_connection_options(connection_->stream.socket(), timeout);
        connection_->user_timeout = timeout;
    }
}

void upstream_exchange::send()
{
    sent_ = true;
    set_user_timeout();
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
    parser_->body_limit(body_limit(memory_));
    if (request_.method == http::verb::head) {
        parser_->skip(true);
    }
    read();
}

void upstream_exchange::read()
{
    http::async_read_some(connection_->stream, connection_->buffer, *parser_,
                          [self = shared_from_this()](error_code error, std::size_t) {
                              if (!self->finished_) {
                                  self->on_read(error);
                              }
                          });
}

// Whether the end of the stream may be that of a reset connection instead of the response: the kernel reports the error
// of a connection only once, so a pending write may take it, or a reset may follow because the body is not read. A
// refusal needs no body.
bool upstream_exchange::may_be_cut() const
{
    return parser_->is_done() && parser_->need_eof() && !write_finished_ &&
           parser_->get().count(names_.not_executed) == 0;
}

bool upstream_exchange::has_valid_status() const
{
    const auto status = parser_->get().result_int();
    return status >= first_status && status <= last_status;
}

void upstream_exchange::on_read(error_code error)
{
    if (error || may_be_cut()) {
        finish(parser_->got_some() ? exchange_end::invalid_response : exchange_end::closed);
        return;
    }
    if (parser_->is_header_done() && !has_valid_status()) {
        finish(exchange_end::invalid_response);
        return;
    }
    // The parser checks its limit only where the head ends, and forgets the result if it parses on. So it stops there.
    if (parser_->is_header_done()) {
        const auto length = parser_->content_length();
        if (length && *length > body_limit(memory_) && !parser_->is_done()) {
            finish(exchange_end::invalid_response);
            return;
        }
        parser_->eager(true);
    }
    reserve();
}

// Reserves memory for what is read next, and reads on when that has succeeded.
void upstream_exchange::reserve()
{
    if (!try_reserve()) {
        await_memory();
        return;
    }
    if (parser_->is_done()) {
        handle_response();
        return;
    }
    read();
}

// If responses reserved more and more memory, all of them could wait for the rest at last. So memory for the longest
// response is spared: the one that needs more first reserves all that it can need, and completes.
bool upstream_exchange::try_reserve()
{
    const auto size = next_size();
    if (size <= maximum_small_response_bytes) {
        return reserved_.resize(memory_, size, memory_use::small_response);
    }
    const auto spared = body_limit(memory_) + maximum_response_header_bytes;
    return reserved_.resize(memory_, size, memory_use::large_response, spared) ||
           reserved_.resize(memory_, full_size(), memory_use::large_response);
}

void upstream_exchange::await_memory()
{
    const bool small = next_size() <= maximum_small_response_bytes;
    const auto use = small ? memory_use::small_response : memory_use::large_response;
    const auto missing = reserved_.missing(small ? next_size() : full_size(), use);
    memory_.wait(waiting_for_memory_, missing, use, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            boost::asio::post(self->context_, [self] {
                if (!self->finished_) {
                    self->reserve();
                }
            });
        }
    });
}

// The size of the response, or one that is sufficient for further reads.
std::size_t upstream_exchange::next_size() const
{
    if (!parser_->is_header_done()) {
        return std::max(connection_->buffer.size(), initial_response_bytes);
    }
    const auto& message = parser_->get();
    if (parser_->is_done()) {
        return size_of(message.base()) + message.body().size();
    }
    if (parser_->content_length()) {
        return full_size();
    }
    const auto next = std::max(initial_response_bytes, growth_factor * message.body().size());
    return std::min(size_of(message.base()) + next, full_size());
}

// The size of the response, or the greatest that it can have.
std::size_t upstream_exchange::full_size() const
{
    const auto& message = parser_->get();
    const auto head_size = size_of(message.base());
    if (parser_->is_done()) {
        return head_size + message.body().size();
    }
    const auto length = parser_->content_length();
    return head_size + (length ? static_cast<std::size_t>(*length) : body_limit(memory_));
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
    result_.response.memory = std::move(reserved_);
    const auto idle = idle_time_of(result_.response.headers) - idle_time_margin;
    if (reusable && idle > std::chrono::milliseconds{0}) {
        connection_->usable_until = clock_() + idle;
        release_idle_buffer(connection_->buffer);
        connections_.release(request_.upstream, std::move(connection_));
    }
    finish(exchange_end::response_received);
}

void upstream_exchange::finish(exchange_end end)
{
    finished_ = true;
    waiting_for_memory_.leave();
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
    waiting_for_memory_.leave();
    on_complete_ = nullptr;
    if (connection_) {
        error_code ignored;
        connection_->stream.socket().close(ignored);
    }
}

} // namespace wisterialane::proxy
