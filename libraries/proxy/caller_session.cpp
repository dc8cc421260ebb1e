#include "libraries/proxy/caller_session.h"

#include <array>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>

namespace wisterialane::proxy {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t read_buffer_bytes = 4096;
/// The connection is closed if a request's body takes longer; callers have timeouts of their own.
constexpr std::chrono::seconds body_timeout{30};
constexpr std::chrono::seconds write_timeout{15};
/// After the last response the caller's remaining bytes are read for this time, because closing with unread bytes
/// resets the connection, and the caller could lose the response.
constexpr std::chrono::milliseconds linger_time{1500};
constexpr std::chrono::milliseconds tcp_user_timeout{5000};

unsigned rejection_status(error_code reason)
{
    if (reason == http::error::header_limit) {
        return 431;
    }
    if (reason == http::error::body_limit) {
        return 413;
    }
    return 400;
}

bool is_protocol_error(error_code reason)
{
    return reason.category() == http::make_error_code(http::error::bad_method).category() &&
           reason != http::error::end_of_stream && reason != http::error::partial_message;
}

bool has_body(unsigned status, http::verb method)
{
    return method != http::verb::head && status != 204 && status != 304;
}

} // namespace

caller_session::caller_session(tcp_stream::socket_type socket, std::shared_ptr<const session_hooks> hooks)
    : stream_{std::move(socket)}, hooks_{std::move(hooks)}
{
    set_connection_options(stream_.socket(), tcp_user_timeout);
}

caller_session::~caller_session() = default;

void caller_session::start()
{
    await_request();
}

void caller_session::await_request()
{
    idle_ = buffer_.size() == 0;
    responding_ = false;
    on_disconnect_ = nullptr;
    request_ = {};
    parser_.emplace();
    if (!idle_) {
        received_at_ = hooks_->clock();
        read_header();
        return;
    }
    stream_.expires_after(hooks_->limits().idle_timeout);
    stream_.async_read_some(buffer_.prepare(read_buffer_bytes),
                            [self = shared_from_this()](error_code error, std::size_t count) {
                                if (error || self->aborted_) {
                                    return;
                                }
                                self->buffer_.commit(count);
                                self->idle_ = false;
                                self->received_at_ = self->hooks_->clock();
                                self->read_header();
                            });
}

void caller_session::read_header()
{
    const auto limits = hooks_->limits();
    parser_->header_limit(static_cast<std::uint32_t>(limits.maximum_header_bytes));
    parser_->body_limit(limits.maximum_body_bytes);
    stream_.expires_after(limits.header_timeout);
    http::async_read_header(stream_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
        if (error) {
            self->reject(error);
            return;
        }
        self->read_body();
    });
}

void caller_session::read_body()
{
    const auto& head = parser_->get();
    const auto transfer_encoding = head[http::field::transfer_encoding];
    if ((!transfer_encoding.empty() && !boost::beast::iequals(transfer_encoding, "chunked")) || head.version() != 11) {
        reject(http::make_error_code(http::error::bad_transfer_encoding));
        return;
    }
    if (parser_->is_done()) {
        deliver_request();
        return;
    }
    stream_.expires_after(body_timeout);
    if (!boost::beast::iequals(head[http::field::expect], "100-continue")) {
        continue_body();
        return;
    }
    outgoing_head_ = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(stream_, boost::asio::buffer(outgoing_head_),
                             [self = shared_from_this()](error_code error, std::size_t) {
                                 if (!error) {
                                     self->continue_body();
                                 }
                             });
}

void caller_session::continue_body()
{
    http::async_read(stream_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
        if (error) {
            self->reject(error);
            return;
        }
        self->deliver_request();
    });
}

void caller_session::reject(error_code reason)
{
    if (!is_protocol_error(reason)) {
        // The caller disconnected or was too slow; no part of its request was sent to an upstream.
        return;
    }
    responding_ = true;
    keep_alive_ = false;
    respond({rejection_status(reason), {}, {}, true});
}

void caller_session::deliver_request()
{
    keep_alive_ = parser_->keep_alive();
    request_ = parser_->release();
    responding_ = true;
    stream_.expires_never();
    watch_for_disconnect();
    hooks_->handle_request(shared_from_this());
}

// A caller that waits for a response sends nothing, so a readable socket means that it disconnected or sent a further
// request.
void caller_session::watch_for_disconnect()
{
    if (buffer_.size() > 0) {
        return;
    }
    stream_.socket().async_wait(tcp::socket::wait_read, [weak = weak_from_this()](error_code error) {
        const auto self = weak.lock();
        if (self && !error) {
            self->check_for_disconnect();
        }
    });
}

void caller_session::check_for_disconnect()
{
    if (!responding_ || !on_disconnect_) {
        return;
    }
    if (peek(stream_.socket()) != pending_input::closed) {
        return;
    }
    const auto notify = std::exchange(on_disconnect_, nullptr);
    notify();
}

void caller_session::respond(caller_response response)
{
    on_disconnect_ = nullptr;
    const bool close = response.close || !keep_alive_ || hooks_->is_draining();
    outgoing_head_ = "HTTP/1.1 " + std::to_string(response.status) + " ";
    outgoing_head_ += http::obsolete_reason(static_cast<http::status>(response.status)).to_string();
    outgoing_head_ += "\r\n";
    for (const auto& [name, value] : response.headers) {
        outgoing_head_.append(name).append(": ").append(value).append("\r\n");
    }
    const bool body = has_body(response.status, request_.method());
    if (body) {
        outgoing_head_ += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
        outgoing_body_ = std::move(response.body);
    }
    else {
        outgoing_body_.clear();
    }
    outgoing_head_ += close ? "Connection: close\r\n\r\n" : "\r\n";
    const std::array<boost::asio::const_buffer, 2> buffers{boost::asio::buffer(outgoing_head_),
                                                           boost::asio::buffer(outgoing_body_)};
    stream_.expires_after(write_timeout);
    boost::asio::async_write(stream_, buffers, [self = shared_from_this(), close](error_code error, std::size_t) {
        if (!error) {
            self->finish_response(close);
        }
    });
}

void caller_session::finish_response(bool close)
{
    if (close) {
        linger();
        return;
    }
    error_code ignored;
    stream_.socket().cancel(ignored);
    await_request();
}

void caller_session::linger()
{
    error_code ignored;
    stream_.socket().cancel(ignored);
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.expires_after(linger_time);
    discard_input();
}

void caller_session::discard_input()
{
    buffer_.clear();
    stream_.async_read_some(buffer_.prepare(read_buffer_bytes),
                            [self = shared_from_this()](error_code error, std::size_t) {
                                if (!error) {
                                    self->discard_input();
                                }
                            });
}

void caller_session::abort()
{
    aborted_ = true;
    on_disconnect_ = nullptr;
    error_code ignored;
    stream_.socket().close(ignored);
}

void caller_session::close_if_idle()
{
    if (idle_) {
        abort();
    }
}

} // namespace wisterialane::proxy
