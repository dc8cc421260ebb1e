#pragma once

#include "libraries/proxy/caller_exchange.h"
#include "libraries/proxy/memory_budget.h"
#include "libraries/proxy/upstream_connection_pool.h"
#include "libraries/proxy/wire_names.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/parser.hpp>

namespace wisterialane::proxy {

/// How an exchange ended on its connection.
enum class exchange_end {
    /// A complete response to this request was received.
    response_received,
    /// No connection was opened, so nothing was sent.
    not_connected,
    /// The upstream has left while the connection was opened, so nothing was sent.
    withdrawn,
    /// The connection closed before a response began; the request may have run.
    closed,
    /// The upstream sent bytes that are no complete response to this request; it may have run.
    invalid_response,
};

[[nodiscard]] std::string_view to_name(exchange_end end);

struct upstream_response {
    unsigned status = 0;
    http_fields headers;
    std::string body;
    /// Memory of the headers and the body.
    memory_reservation memory;
};

struct exchange_result {
    exchange_end end = exchange_end::closed;
    upstream_response response;
    /// The connection had carried earlier exchanges.
    bool reused = false;
};

/// A request as it is sent to an upstream.
struct exchange_request {
    kernel::upstream_name upstream;
    tcp::endpoint address;
    std::string request_id;
    /// Request line and headers, with the final empty line.
    std::string head;
    /// Kept alive by the caller's session.
    std::string_view body;
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::chrono::milliseconds connect_timeout{500};
    /// Time until the request's deadline.
    std::chrono::milliseconds time_left{1000};
    /// Whether the upstream still takes the request. Asked when its connection has been opened.
    std::function<bool()> may_send = [] { return true; };
};

/// Sends one request to one upstream and reads the response that carries the request's id. Memory for the response is
/// reserved before it is read; until it is available, nothing more is read.
class upstream_exchange : public std::enable_shared_from_this<upstream_exchange> {
public:
    using completion_handler = std::function<void(exchange_result)>;

    upstream_exchange(io_context& context, upstream_connection_pool& connections, const wire_names& names,
                      memory_budget& memory, kernel::clock_source clock);

    void start(exchange_request request, completion_handler on_complete);

    /// Ends the exchange without calling the handler, and closes the connection so that the upstream stops processing
    /// the request.
    void cancel();

    /// Whether bytes of the request may have reached the upstream.
    [[nodiscard]] bool sent() const { return sent_; }

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void set_user_timeout();
    void send();
    void receive();
    void read();
    [[nodiscard]] bool may_be_cut() const;
    [[nodiscard]] bool has_valid_status() const;
    void on_read(error_code error);
    void reserve();
    [[nodiscard]] bool try_reserve();
    void await_memory();
    [[nodiscard]] std::size_t next_size() const;
    [[nodiscard]] std::size_t full_size() const;
    void handle_response();
    void skip_response();
    void accept_response();
    void finish(exchange_end end);

    io_context& context_;
    upstream_connection_pool& connections_;
    const wire_names& names_;
    memory_budget& memory_;
    kernel::clock_source clock_;
    exchange_request request_;
    completion_handler on_complete_;
    std::unique_ptr<upstream_connection> connection_;
    std::optional<parser> parser_;
    memory_reservation reserved_;
    memory_budget::waiting_position waiting_for_memory_;
    exchange_result result_;
    unsigned skipped_responses_ = 0;
    bool sent_ = false;
    bool write_finished_ = false;
    bool finished_ = false;
};

} // namespace wisterialane::proxy
