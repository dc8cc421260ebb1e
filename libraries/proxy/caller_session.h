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

/// A response to a caller with its whole body.
struct caller_response {
    unsigned status = 200;
    /// Without framing headers, which the session adds.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Closes the connection after the response.
    bool close = false;
};

class caller_session;

/// Callbacks by which a session uses its owner. All of them run on the proxy's thread.
struct session_hooks {
    /// Called with a complete request; its response is sent by `respond`.
    std::function<void(const std::shared_ptr<caller_session>&)> handle_request;
    /// Returns the limits of the current configuration.
    std::function<caller_limits()> limits;
    /// Returns whether connections are to be closed after their current request.
    std::function<bool()> is_draining;
    kernel::clock_source clock;
};

/// One connection of a caller: reads requests, one at a time, and writes responses. Detects a caller that disconnects
/// while its request is being served.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(tcp_stream::socket_type socket, std::shared_ptr<const session_hooks> hooks);
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;
    ~caller_session();

    void start();

    /// The request that is being served.
    [[nodiscard]] const http_request& request() const { return request_; }

    /// When the first byte of the request was received.
    [[nodiscard]] kernel::time_point received_at() const { return received_at_; }

    /// Sets a function that is called once if the caller disconnects before the response.
    void on_disconnect(std::function<void()> notify) { on_disconnect_ = std::move(notify); }

    /// Sends the response to the current request.
    void respond(caller_response response);

    /// Closes the connection without a response.
    void abort();

    /// Closes the connection if no request has begun.
    void close_if_idle();

private:
    void await_request();
    void read_header();
    void read_body();
    void continue_body();
    void deliver_request();
    void watch_for_disconnect();
    void check_for_disconnect();
    void reject(error_code reason);
    void finish_response(bool close);
    void linger();
    void discard_input();

    tcp_stream stream_;
    std::shared_ptr<const session_hooks> hooks_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    http_request request_;
    kernel::time_point received_at_{};
    std::function<void()> on_disconnect_;
    std::string outgoing_head_;
    std::string outgoing_body_;
    bool idle_ = true;
    /// This side closed the connection; reads that completed before are ignored.
    bool aborted_ = false;
    bool responding_ = false;
    bool keep_alive_ = true;
};

} // namespace wisterialane::proxy
