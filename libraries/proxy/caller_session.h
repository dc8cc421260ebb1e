#pragma once

#include "libraries/proxy/caller_exchange.h"
#include "libraries/proxy/network.h"
#include "libraries/proxy/one_shot_timer.h"
#include "libraries/proxy/traffic_configuration.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace wisterialane::proxy {

/// Callbacks by which a session uses its owner. All of them run on the proxy's thread.
struct session_hooks {
    /// Called with a complete request, which is answered by `caller_exchange::respond`.
    std::function<void(const std::shared_ptr<caller_exchange>&)> handle_request;
    /// Returns the limits of the current configuration.
    std::function<caller_limits()> limits;
    /// Returns whether connections are to be closed after their current requests.
    std::function<bool()> is_draining;
    kernel::clock_source clock;
    /// Returns whether a request may run more than once, and so may begin before earlier requests of its connection
    /// have been answered. Without this function no request does.
    std::function<bool(const http_request&)> is_repeatable = nullptr;
    /// Called with a request that was not read completely, because there is no memory for it. It is answered by
    /// `caller_exchange::respond`; then the connection is closed.
    std::function<void(const std::shared_ptr<caller_exchange>&)> refuse_request = nullptr;
    /// Memory for the requests; not limited without it.
    std::shared_ptr<memory_budget> memory = nullptr;
    /// Called with the time that a pipelined request waited for earlier ones of its connection. Optional.
    std::function<void(kernel::duration)> record_pipeline_wait = nullptr;
    /// Called when the connection is closed, with the number of requests that get no response. Optional.
    std::function<void(connection_end, std::size_t cut_requests)> record_end = nullptr;
};

/// One connection of a caller: reads requests, passes them on, and sends the responses in the order of the requests.
/// Detects a caller that disconnects while its requests are in progress.
///
/// A caller may send further requests before the first one is answered. Repeatable ones begin at once, up to a limit;
/// any other one begins when all earlier ones have been answered, and those behind it wait as well. So if a response
/// closes the connection, no request that must not be repeated is in progress behind it, and the caller can send the
/// requests behind it again.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(tcp_stream::socket_type socket, std::shared_ptr<const session_hooks> hooks);
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;
    ~caller_session();

    void start();

    /// Closes the connection. Exchanges that are in progress end without a response.
    void close(connection_end reason);

    /// Closes the connection if no request has begun.
    void close_if_idle();

private:
    friend class caller_exchange;

    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using exchange_pointer = std::shared_ptr<caller_exchange>;

    /// What the caller's next bytes belong to; each phase has a timeout of its own.
    enum class input_phase {
        idle,
        head,
        body,
        /// Requests are in progress.
        exchange,
    };

    void await_input();
    void read();
    void on_input_end();
    void parse();
    [[nodiscard]] bool parse_more();
    [[nodiscard]] bool accept_head();
    void complete_request();
    void end_input();
    void reject(unsigned status);
    [[nodiscard]] bool reserve_input();
    [[nodiscard]] std::size_t body_size() const;
    void refuse_request();
    void accept_refused_body();
    void add_exchange(exchange_pointer added);

    [[nodiscard]] std::size_t held_bytes() const;
    [[nodiscard]] bool may_receive_request() const;
    [[nodiscard]] bool may_begin(const caller_exchange& next, std::size_t position) const;
    void begin_exchanges();
    void accept_response(caller_exchange& answered, caller_response response);
    void send_next_response();
    void start_response_timeout();
    [[nodiscard]] bool end_sending(error_code error);
    [[nodiscard]] bool closes_after(const caller_exchange& answered) const;
    void on_response_sent(bool is_last);
    void record_wait(const caller_exchange& answered) const;
    void send_continue();

    [[nodiscard]] input_phase current_phase() const;
    void set_input_timeout();
    void expire_input_after(kernel::duration timeout, connection_end reason);
    void on_input_timeout(connection_end reason);
    [[nodiscard]] bool extend_idle_time();
    void linger();
    void start_linger_timeout();
    void on_linger_timeout();
    [[nodiscard]] bool may_discard() const;
    void discard(std::size_t count);
    [[nodiscard]] std::size_t unanswered_requests() const;

    tcp_stream::socket_type socket_;
    one_shot_timer input_timer_;
    one_shot_timer output_timer_;
    std::shared_ptr<const session_hooks> hooks_;
    boost::beast::flat_buffer buffer_;
    std::optional<request_parser> parser_;
    kernel::time_point parse_began_at_{};
    /// The head of the request in `parser_` was checked; its body follows.
    bool reading_body_ = false;
    bool continue_requested_ = false;
    std::size_t head_bytes_ = 0;
    /// Memory of the request in `parser_` and of the bytes read ahead.
    memory_reservation input_memory_;
    /// Bytes of a refused body that the caller may still send.
    std::uint64_t refused_body_bytes_ = 0;
    kernel::time_point discard_until_{};
    kernel::time_point last_read_at_{};
    /// Idle time that the connection may reach, by the limits when it became idle.
    std::chrono::milliseconds granted_idle_time_{0};
    /// The phase whose timeout was started.
    std::optional<input_phase> timed_phase_;
    /// Exchanges that have not been answered completely, in the order of their requests.
    std::deque<exchange_pointer> exchanges_;
    std::string outgoing_head_;
    std::string outgoing_body_;
    bool sending_ = false;
    /// No further requests are read: the last one was malformed or closes the connection.
    bool input_complete_ = false;
    /// The caller has closed its side.
    bool input_closed_ = false;
    bool awaiting_input_ = false;
    bool lingering_ = false;
    /// Why the last response closes the connection.
    connection_end end_after_response_ = connection_end::response_sent;
    /// This side closed the connection; operations that completed before are ignored.
    bool closed_ = false;
};

} // namespace wisterialane::proxy
