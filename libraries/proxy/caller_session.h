#pragma once

#include "libraries/proxy/network.h"
#include "libraries/proxy/traffic_configuration.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace wisterialane::proxy {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_fields = boost::beast::http::fields;

/// An answer to a caller with its whole body.
struct caller_response {
    unsigned status = 200;
    /// Without framing headers, which the session adds.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Ends the connection after the answer.
    bool close = false;
};

class caller_session;

/// What a session needs of its owner. All hooks run on the proxy's thread.
struct session_hooks {
    /// A whole request has arrived; the answer is given by `respond`.
    std::function<void(const std::shared_ptr<caller_session>&)> handle_request;
    /// Bounds of the configuration that is in force.
    std::function<caller_limits()> limits;
    /// Whether connections are closed after their current request.
    std::function<bool()> is_draining;
    kernel::clock_source clock;
};

/// One connection of a caller: reads requests, one at a time, and writes answers. Notices a caller that leaves while
/// its request is worked on.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(tcp_stream::socket_type socket, std::shared_ptr<const session_hooks> hooks);
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;
    ~caller_session();

    void start();

    /// The request that is being served.
    [[nodiscard]] const http_request& request() const { return request_; }

    /// When the first byte of the request was seen.
    [[nodiscard]] kernel::time_point received_at() const { return received_at_; }

    /// Called once if the caller leaves before the answer.
    void on_disconnect(std::function<void()> notify) { departed_ = std::move(notify); }

    /// Answers the present request.
    void respond(caller_response answer);

    /// Ends the connection without an answer.
    void abort();

    /// Ends the connection if it waits for a request.
    void close_if_idle();

private:
    void await_request();
    void read_header();
    void read_body();
    void continue_body();
    void deliver_request();
    void watch_caller();
    void check_caller();
    void reject(error_code reason);
    void finish_answer(bool close);
    void linger();
    void discard_input();

    tcp_stream stream_;
    std::shared_ptr<const session_hooks> hooks_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    http_request request_;
    kernel::time_point received_at_{};
    std::function<void()> departed_;
    std::string outgoing_head_;
    std::string outgoing_body_;
    bool idle_ = true;
    /// Closed by this side; reads that had completed before are not acted on.
    bool aborted_ = false;
    bool answering_ = false;
    bool keep_alive_ = true;
};

} // namespace wisterialane::proxy
