#include "libraries/proxy/caller_session.h"

#include <algorithm>
#include <array>
#include <numeric>

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

namespace wisterialane::proxy {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t read_bytes = 4096;
constexpr std::size_t body_read_bytes = 16384;
/// Reads of bytes that have arrived when a timeout ends.
constexpr std::size_t maximum_reads_at_timeout = 16;
/// Requests of one connection that are held at once. Further ones stay in the read buffer.
constexpr std::size_t maximum_held_requests = 8;
/// While the bodies of a connection's requests and responses exceed this size, no further request begins.
constexpr std::size_t maximum_held_bytes = std::size_t{256} * 1024;
/// Bytes that are read ahead of the held requests, so that the end of the connection is detected.
constexpr std::size_t maximum_read_ahead_bytes = std::size_t{64} * 1024;
/// An idle connection is kept this much longer than the configuration says: a request that its caller sent in time may
/// still be on its way, or its packet may have been lost once.
constexpr std::chrono::milliseconds idle_timeout_margin{1000};
/// The connection is closed if a request's body takes longer; callers have timeouts of their own.
constexpr std::chrono::seconds body_timeout{30};
constexpr std::chrono::seconds write_timeout{15};
/// Memory of a request besides its head and body, and of its handler; the head is held a second time while it is sent.
constexpr std::size_t request_overhead_bytes = 4096;
/// After the last response the caller's remaining bytes are read for this time, because closing with unread bytes
/// resets the connection, and the caller could lose the response.
constexpr std::chrono::milliseconds linger_time{1500};
constexpr std::chrono::milliseconds tcp_user_timeout{5000};

constexpr unsigned bad_request_status = 400;
/// Says that the request has not run.
constexpr unsigned request_timeout_status = 408;

unsigned rejection_status(error_code reason)
{
    if (reason == http::error::header_limit) {
        return 431;
    }
    if (reason == http::error::body_limit) {
        return 413;
    }
    return bad_request_status;
}

bool has_body(unsigned status, http::verb method)
{
    return method != http::verb::head && status != 204 && status != 304;
}

std::string render_head(const caller_response& response, bool with_body, bool close)
{
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + " ";
    head += http::obsolete_reason(static_cast<http::status>(response.status)).to_string();
    head += "\r\n";
    for (const auto& [name, value] : response.headers) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
    if (with_body) {
        head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    }
    head += close ? "Connection: close\r\n\r\n" : "\r\n";
    return head;
}

} // namespace

caller_session::caller_session(tcp_stream::socket_type socket, std::shared_ptr<const session_hooks> hooks)
    : socket_{std::move(socket)}, input_timer_{socket_.get_executor()},
      output_timer_{socket_.get_executor()}, hooks_{std::move(hooks)}
{
    set_connection_options(socket_, tcp_user_timeout);
    error_code ignored;
    socket_.non_blocking(true, ignored);
}

caller_session::~caller_session() = default;

void caller_session::start()
{
    set_input_timeout();
    await_input();
}

// Input is always awaited, also while requests are in progress, so that the end of the connection is detected. The
// buffer is not passed to an asynchronous read, because requests are parsed and removed from it meanwhile.
void caller_session::await_input()
{
    if (awaiting_input_ || closed_ || input_closed_) {
        return;
    }
    if (!may_receive_request() && (buffer_.size() >= maximum_read_ahead_bytes || !reserve_input())) {
        return;
    }
    awaiting_input_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        self->awaiting_input_ = false;
        if (!error && !self->closed_) {
            self->read();
        }
    });
}

void caller_session::read()
{
    error_code error;
    const bool expects_body = reading_body_ || refused_body_bytes_ > 0;
    const auto count = socket_.read_some(buffer_.prepare(expects_body ? body_read_bytes : read_bytes), error);
    if (error && error != boost::asio::error::would_block) {
        on_input_end();
        return;
    }
    if (input_complete_) {
        // The bytes of later requests are not handled; they are read to detect the end of the connection.
        discard(count);
        await_input();
        return;
    }
    buffer_.commit(count);
    last_read_at_ = hooks_->clock();
    parse();
    await_input();
}

// A caller that closes its side waits for no response that is not yet being sent.
void caller_session::on_input_end()
{
    input_closed_ = true;
    const bool all_answered = std::all_of(exchanges_.begin(), exchanges_.end(),
                                          [](const auto& exchange) { return exchange->response_.has_value(); });
    if (exchanges_.empty() || !all_answered) {
        close(lingering_ ? end_after_response_ : connection_end::caller_closed);
    }
}

void caller_session::parse()
{
    while (!closed_ && !input_complete_ && buffer_.size() > 0 && may_receive_request()) {
        if (!parse_more()) {
            break;
        }
    }
    if (!closed_ && !input_complete_ && may_receive_request() && !reserve_input()) {
        refuse_request();
    }
    set_input_timeout();
    begin_exchanges();
}

// Returns whether there may be more to parse.
bool caller_session::parse_more()
{
    if (!parser_) {
        const auto limits = hooks_->limits();
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(limits.maximum_header_bytes));
        parser_->body_limit(limits.maximum_body_bytes);
        parse_began_at_ = last_read_at_;
    }
    error_code error;
    const auto parsed = parser_->put(buffer_.data(), error);
    buffer_.consume(parsed);
    head_bytes_ += reading_body_ ? 0 : parsed;
    if (error == http::error::need_more) {
        return false;
    }
    if (error) {
        reject(rejection_status(error));
        return false;
    }
    if (!reading_body_ && !accept_head()) {
        return false;
    }
    if (parser_->is_done()) {
        complete_request();
    }
    return true;
}

// Returns whether the body of the request can be read.
bool caller_session::accept_head()
{
    const auto& head = parser_->get();
    const auto transfer_encoding = head[http::field::transfer_encoding];
    if ((!transfer_encoding.empty() && !boost::beast::iequals(transfer_encoding, "chunked")) || head.version() != 11) {
        reject(bad_request_status);
        return false;
    }
    reading_body_ = true;
    if (!reserve_input()) {
        refuse_request();
        return false;
    }
    parser_->eager(true);
    if (!parser_->is_done() && boost::beast::iequals(head[http::field::expect], "100-continue")) {
        continue_requested_ = true;
        send_continue();
    }
    return true;
}

// An interim response must not come before the responses to earlier requests.
void caller_session::send_continue()
{
    if (!continue_requested_ || sending_ || !exchanges_.empty()) {
        return;
    }
    continue_requested_ = false;
    sending_ = true;
    outgoing_head_ = "HTTP/1.1 100 Continue\r\n\r\n";
    start_response_timeout();
    boost::asio::async_write(socket_, boost::asio::buffer(outgoing_head_),
                             [self = shared_from_this()](error_code error, std::size_t) {
                                 if (self->end_sending(error)) {
                                     self->send_next_response();
                                 }
                             });
}

void caller_session::complete_request()
{
    const bool keep_alive = parser_->keep_alive();
    auto added = std::make_shared<caller_exchange>(shared_from_this(), parser_->release(), parse_began_at_);
    added->keep_alive_ = keep_alive;
    added->request_memory_ = std::move(input_memory_);
    add_exchange(std::move(added));
    if (!keep_alive) {
        end_input();
    }
}

void caller_session::end_input()
{
    input_complete_ = true;
    buffer_.clear();
}

void caller_session::reject(unsigned status)
{
    if (status != bad_request_status) {
        accept_refused_body();
    }
    auto added = std::make_shared<caller_exchange>(shared_from_this(), http_request{}, parse_began_at_);
    added->begun_ = true;
    added->response_ = caller_response{status, {}, {}, true};
    added->responded_at_ = hooks_->clock();
    add_exchange(std::move(added));
    end_input();
    input_memory_.release();
    send_next_response();
}

// Returns whether there is memory for the bytes read ahead and for the request that is being read. A body with a known
// length is reserved as a whole before it is read, so that the caller can go elsewhere at once.
bool caller_session::reserve_input()
{
    if (!hooks_->memory) {
        return true;
    }
    const auto body = body_size();
    const auto request = parser_ ? request_overhead_bytes + 2 * head_bytes_ + body : 0;
    const auto use = body > small_message_bytes ? memory_use::large_request : memory_use::small_request;
    return input_memory_.resize(*hooks_->memory, request + buffer_.size(), use);
}

// The body of the request that is being read, as far as its size is known.
std::size_t caller_session::body_size() const
{
    if (!reading_body_) {
        return 0;
    }
    const auto length = parser_->content_length();
    return length ? static_cast<std::size_t>(*length) : parser_->get().body().size();
}

void caller_session::refuse_request()
{
    accept_refused_body();
    auto request = reading_body_ ? parser_->release() : http_request{};
    request.body() = std::string{};
    auto refused = std::make_shared<caller_exchange>(shared_from_this(), std::move(request), parse_began_at_);
    refused->begun_ = true;
    refused->keep_alive_ = false;
    add_exchange(refused);
    end_input();
    input_memory_.release();
    if (hooks_->refuse_request) {
        hooks_->refuse_request(refused);
        return;
    }
    refused->respond({503, {}, {}, true});
}

// Lets the caller send the rest of its body, so that the connection is not reset before it has read the response.
void caller_session::accept_refused_body()
{
    refused_body_bytes_ = hooks_->limits().maximum_body_bytes;
    discard_until_ = hooks_->clock() + body_timeout;
}

void caller_session::add_exchange(exchange_pointer added)
{
    parser_.reset();
    reading_body_ = false;
    head_bytes_ = 0;
    continue_requested_ = false;
    added->pipelined_ = !exchanges_.empty();
    exchanges_.push_back(std::move(added));
}

std::size_t caller_session::held_bytes() const
{
    return std::accumulate(exchanges_.begin(), exchanges_.end(), std::size_t{0},
                           [](std::size_t sum, const auto& exchange) { return sum + exchange->held_bytes(); });
}

// A request whose first bytes were parsed is completed even at the limit.
bool caller_session::may_receive_request() const
{
    if (parser_ || exchanges_.empty()) {
        return true;
    }
    return exchanges_.size() < maximum_held_requests && held_bytes() <= maximum_held_bytes;
}

// While the host drains, the response to the last request that has begun closes the connection, so none begins behind
// one that has.
bool caller_session::may_begin(const caller_exchange& next, std::size_t position) const
{
    if (position == 0) {
        return true;
    }
    return hooks_->is_repeatable && !hooks_->is_draining() && held_bytes() <= maximum_held_bytes &&
           hooks_->is_repeatable(next.request_);
}

void caller_session::begin_exchanges()
{
    // A handler may respond at once, but a response is removed from `exchanges_` only when it has been sent.
    for (std::size_t position = 0; position < exchanges_.size() && !closed_; ++position) {
        const auto next = exchanges_[position];
        if (next->begun_) {
            continue;
        }
        if (!may_begin(*next, position)) {
            return;
        }
        next->begun_ = true;
        next->waited_to_begin_ = hooks_->clock() - next->received_at_;
        hooks_->handle_request(next);
    }
}

void caller_session::accept_response(caller_exchange& answered, caller_response response)
{
    answered.on_disconnect_ = nullptr;
    if (closed_ || answered.response_) {
        return;
    }
    answered.response_ = std::move(response);
    answered.responded_at_ = hooks_->clock();
    send_next_response();
}

void caller_session::send_next_response()
{
    if (closed_ || sending_ || lingering_) {
        return;
    }
    if (exchanges_.empty()) {
        send_continue();
        return;
    }
    auto& answered = *exchanges_.front();
    if (!answered.response_) {
        return;
    }
    sending_ = true;
    record_wait(answered);
    const bool is_last = closes_after(answered);
    const bool with_body = has_body(answered.response_->status, answered.request_.method());
    outgoing_head_ = render_head(*answered.response_, with_body, is_last);
    outgoing_body_ = with_body ? std::move(answered.response_->body) : std::string{};
    const std::array<boost::asio::const_buffer, 2> buffers{boost::asio::buffer(outgoing_head_),
                                                           boost::asio::buffer(outgoing_body_)};
    start_response_timeout();
    boost::asio::async_write(socket_, buffers, [self = shared_from_this(), is_last](error_code error, std::size_t) {
        if (self->end_sending(error)) {
            self->on_response_sent(is_last);
        }
    });
}

void caller_session::start_response_timeout()
{
    output_timer_.start(write_timeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->close(connection_end::response_timeout);
        }
    });
}

// Returns whether the connection is still in use. A response that waits behind a failed one cannot be sent either.
bool caller_session::end_sending(error_code error)
{
    sending_ = false;
    output_timer_.cancel();
    if (error) {
        close(connection_end::caller_closed);
    }
    return !closed_;
}

// The requests behind a response that closes the connection have not begun.
bool caller_session::closes_after(const caller_exchange& answered) const
{
    if (answered.response_->close || !answered.keep_alive_) {
        return true;
    }
    const bool next_has_begun = exchanges_.size() > 1 && exchanges_[1]->begun_;
    return hooks_->is_draining() && !next_has_begun;
}

void caller_session::record_wait(const caller_exchange& answered) const
{
    if (answered.pipelined_ && hooks_->record_pipeline_wait) {
        hooks_->record_pipeline_wait(answered.waited_to_begin_ + (hooks_->clock() - answered.responded_at_));
    }
}

void caller_session::on_response_sent(bool is_last)
{
    exchanges_.pop_front();
    if (is_last && input_closed_) {
        close(end_after_response_);
        return;
    }
    if (is_last) {
        linger();
        return;
    }
    if (input_closed_ && exchanges_.empty()) {
        close(connection_end::caller_closed);
        return;
    }
    parse();
    send_next_response();
    await_input();
}

caller_session::input_phase caller_session::current_phase() const
{
    if (!exchanges_.empty()) {
        return input_phase::exchange;
    }
    if (!parser_) {
        return input_phase::idle;
    }
    return reading_body_ ? input_phase::body : input_phase::head;
}

// Starts the timeout of a phase when it begins. While requests are in progress their deadlines apply, and a further
// request may be incomplete for as long.
void caller_session::set_input_timeout()
{
    const auto phase = current_phase();
    if (closed_ || lingering_ || phase == timed_phase_) {
        return;
    }
    timed_phase_ = phase;
    switch (phase) {
    case input_phase::idle:
        release_idle_buffer(buffer_);
        granted_idle_time_ = hooks_->limits().idle_timeout;
        expire_input_after(granted_idle_time_ + idle_timeout_margin, connection_end::idle_timeout);
        break;
    case input_phase::head:
        expire_input_after(hooks_->limits().header_timeout, connection_end::header_timeout);
        break;
    case input_phase::body:
        expire_input_after(body_timeout, connection_end::body_timeout);
        break;
    case input_phase::exchange:
        input_timer_.cancel();
        break;
    }
}

void caller_session::expire_input_after(kernel::duration timeout, connection_end reason)
{
    input_timer_.start(timeout, [weak = weak_from_this(), reason] {
        if (const auto self = weak.lock()) {
            self->on_input_timeout(reason);
        }
    });
}

// The event loop may be late, so that bytes which came in time have not been read. They decide whether the phase has
// ended; the connection is closed only if it has not.
void caller_session::on_input_timeout(connection_end reason)
{
    const auto phase = current_phase();
    for (std::size_t count = 0; count < maximum_reads_at_timeout; ++count) {
        if (peek(socket_) != pending_input::bytes) {
            break;
        }
        read();
        if (closed_ || current_phase() != phase) {
            return;
        }
    }
    if (reason == connection_end::idle_timeout && extend_idle_time()) {
        return;
    }
    if (reason == connection_end::header_timeout || reason == connection_end::body_timeout) {
        end_after_response_ = reason;
        reject(request_timeout_status);
        return;
    }
    close(reason);
}

// Returns whether a newer version of the configuration allows the connection to be idle for longer.
bool caller_session::extend_idle_time()
{
    const auto granted = std::exchange(granted_idle_time_, hooks_->limits().idle_timeout);
    if (granted_idle_time_ <= granted) {
        return false;
    }
    expire_input_after(granted_idle_time_ - granted, connection_end::idle_timeout);
    return true;
}

void caller_session::linger()
{
    lingering_ = true;
    exchanges_.clear();
    parser_.reset();
    end_input();
    input_memory_.release();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    start_linger_timeout();
    await_input();
}

void caller_session::start_linger_timeout()
{
    input_timer_.start(linger_time, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_linger_timeout();
        }
    });
}

void caller_session::on_linger_timeout()
{
    if (may_discard() && peek(socket_) == pending_input::bytes) {
        start_linger_timeout();
        read();
        return;
    }
    close(end_after_response_);
}

// A caller that still sends a refused body would lose the response if the connection were reset. It is given the time
// that it needs, as long as it sends.
bool caller_session::may_discard() const
{
    return refused_body_bytes_ > 0 && hooks_->clock() < discard_until_;
}

void caller_session::discard(std::size_t count)
{
    if (lingering_ && count > 0 && may_discard()) {
        start_linger_timeout();
    }
    refused_body_bytes_ -= std::min<std::uint64_t>(refused_body_bytes_, count);
}

// Those whose responses have begun to be sent count as well.
std::size_t caller_session::unanswered_requests() const
{
    return static_cast<std::size_t>(
        std::count_if(exchanges_.begin(), exchanges_.end(), [](const auto& exchange) { return exchange->begun_; }));
}

void caller_session::close(connection_end reason)
{
    if (closed_) {
        return;
    }
    closed_ = true;
    if (hooks_->record_end) {
        hooks_->record_end(reason, unanswered_requests());
    }
    error_code ignored;
    input_timer_.cancel();
    output_timer_.cancel();
    socket_.close(ignored);
    const auto ended = std::move(exchanges_);
    exchanges_.clear();
    for (const auto& exchange : ended) {
        if (const auto notify = std::exchange(exchange->on_disconnect_, nullptr)) {
            notify(reason);
        }
    }
}

void caller_session::close_if_idle()
{
    const bool idle = exchanges_.empty() && !parser_ && buffer_.size() == 0 && !lingering_;
    if (idle && peek(socket_) != pending_input::bytes) {
        close(connection_end::host_stopping);
    }
}

} // namespace wisterialane::proxy
