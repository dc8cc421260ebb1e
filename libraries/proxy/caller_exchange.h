#pragma once

#include "kernel/clock.h"
#include "libraries/proxy/connection_end.h"
#include "libraries/proxy/memory_budget.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace wisterialane::proxy {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_fields = boost::beast::http::fields;

class caller_session;

/// A response to a caller with its whole body.
struct caller_response {
    unsigned status = 200;
    /// Without framing headers, which the session adds.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Closes the connection after the response.
    bool close = false;
    /// Memory of the response; empty for those that the host makes itself.
    memory_reservation memory = {};
};

/// One request of a caller and its response. Several exchanges of a connection may be in progress at once; the session
/// sends their responses in the order of the requests.
class caller_exchange {
public:
    caller_exchange(std::shared_ptr<caller_session> session, http_request request, kernel::time_point received_at);
    caller_exchange(const caller_exchange&) = delete;
    caller_exchange& operator=(const caller_exchange&) = delete;
    ~caller_exchange();

    [[nodiscard]] const http_request& request() const { return request_; }

    /// When the first byte of the request was received.
    [[nodiscard]] kernel::time_point received_at() const { return received_at_; }

    /// Sets a function that is called once if the connection is closed before the response, by either side.
    void on_disconnect(std::function<void(connection_end)> notify) { on_disconnect_ = std::move(notify); }

    /// Sends the response as soon as those to all earlier requests of the connection have been sent. Without effect if
    /// the connection is closed.
    void respond(caller_response response);

    /// Closes the connection without a response.
    void abort();

private:
    friend class caller_session;

    /// Bytes of the request's and the response's bodies.
    [[nodiscard]] std::size_t held_bytes() const;

    /// Memory of the request.
    memory_reservation request_memory_;
    std::shared_ptr<caller_session> session_;
    http_request request_;
    kernel::time_point received_at_;
    std::function<void(connection_end)> on_disconnect_;
    std::optional<caller_response> response_;
    /// The caller allows further requests on the connection.
    bool keep_alive_ = true;
    /// It was received while earlier exchanges were in progress.
    bool pipelined_ = false;
    /// It was passed to `session_hooks::handle_request`.
    bool begun_ = false;
    kernel::time_point responded_at_{};
    /// Time that it waited for earlier exchanges before it began.
    kernel::duration waited_to_begin_{};
};

} // namespace wisterialane::proxy
