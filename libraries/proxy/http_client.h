#pragma once

#include "kernel/failure.h"
#include "libraries/proxy/network.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace wisterialane::proxy {

/// A request with its whole body.
struct client_request {
    std::string method;
    std::string target;
    std::string body;
    std::chrono::milliseconds timeout{1000};
};

struct client_response {
    unsigned status = 0;
    std::string body;
    /// When the request was sent.
    kernel::time_point sent_at;
    boost::beast::http::fields headers;
};

/// Sends requests to one server over a persistent connection, one after the other. Not thread-safe.
class http_client : public std::enable_shared_from_this<http_client> {
public:
    using completion_handler = std::function<void(kernel::result<client_response>)>;

    http_client(io_context& context, tcp::endpoint server, kernel::clock_source clock);

    /// Fails with `store_unreachable` if the response timed out or the connection failed; the request may have taken
    /// effect.
    void call(client_request request, completion_handler on_complete);

    /// Discards all calls without calling their handlers, and closes the connection.
    void cancel_calls();

    /// Discards all calls like `cancel_calls`. Later calls are ignored.
    void stop();

private:
    struct pending_call {
        client_request request;
        completion_handler on_complete;
    };

    using response_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    /// A connection to the server, with the buffers that its operations access.
    struct connection {
        explicit connection(io_context& context) : stream{context.get_executor()} {}

        tcp_stream stream;
        std::string outgoing;
        boost::beast::flat_buffer incoming;
        std::optional<response_parser> parser;
    };

    void start_next();
    void connect();
    void send();
    void receive();
    void receive_body();
    void on_response();
    void finish(kernel::result<client_response> outcome);
    void fail(error_code reason);
    void close();

    /// Wraps the handler of an operation on the connection, so that it runs only if that connection is still in use.
    /// Keeps the connection and its buffers alive until the operation has ended.
    template <class Handler>
    [[nodiscard]] auto while_connected(Handler next)
    {
        return [self = shared_from_this(), used = connection_, next = std::move(next)](error_code error, auto&&...) {
            if (used != self->connection_) {
                return;
            }
            if (error) {
                self->fail(error);
                return;
            }
            next(*self);
        };
    }

    io_context& context_;
    tcp::endpoint server_;
    kernel::clock_source clock_;
    std::shared_ptr<connection> connection_;
    std::deque<pending_call> calls_;
    kernel::time_point sent_{};
    bool running_ = false;
    bool stopped_ = false;
};

} // namespace wisterialane::proxy
