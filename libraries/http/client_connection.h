#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/http/message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace wisterialane::http {

/// An HTTP/1.1 connection as a client (CivetWeb), for one exchange after the other. Not thread-safe.
/// FIXME: CivetWeb's client bounds a connect by 10 s and each body read or write by 30 s, and offers no way to shorten
/// that; only the wait for the response head takes a timeout.
class client_connection {
public:
    /// Fails with `invalid_address` or `connect_failed`.
    static kernel::result<std::unique_ptr<client_connection>> connect(const kernel::socket_address& address);

    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    ~client_connection();

    /// Starts an exchange. The given headers contain no framing headers; `Host` is added when missing.
    kernel::result<void> send_head(const request_head& head, body_size size);
    kernel::result<void> send_body(std::string_view bytes);
    kernel::result<void> finish_request();

    /// Waits for the response head and skips interim (1xx) responses. Fails with `receive_timeout`, `receive_failed`,
    /// or `body_length_unknown` when the end of the body could not be told from a cut connection.
    kernel::result<response_head> receive_head(std::chrono::milliseconds timeout);

    /// The framing of the response whose head was received.
    [[nodiscard]] const body_size& response_body() const { return response_size_; }

    /// Reads the next bytes of the response body; 0 at its verified end. Fails with `body_cut`.
    kernel::result<std::size_t> receive_body(std::span<char> buffer);

    /// Whether the last exchange is complete and the connection may carry another.
    [[nodiscard]] bool reusable() const;

    /// Exchanges begun on this connection so far.
    [[nodiscard]] std::uint64_t exchanges_started() const { return exchanges_started_; }

    [[nodiscard]] const kernel::socket_address& address() const { return address_; }

private:
    enum class state { idle, sending, awaiting_response, receiving, failed };

    struct connection_closer {
        void operator()(void* connection) const;
    };

    client_connection(kernel::socket_address address, void* connection);

    kernel::result<void> send(std::string_view bytes);
    kernel::result<void> read_framing(const response_head& head);

    kernel::socket_address address_;
    std::unique_ptr<void, connection_closer> connection_;
    state state_ = state::idle;
    bool keep_alive_ = true;
    bool is_head_request_ = false;
    body_size request_size_;
    body_size response_size_;
    std::uint64_t body_bytes_received_ = 0;
    std::uint64_t exchanges_started_ = 0;
};

/// Receives the rest of the response body. Fails with `body_cut`, or with `body_too_large` above `maximum_bytes`.
kernel::result<std::string> receive_whole_body(client_connection& connection, std::size_t maximum_bytes);

/// Runs one whole exchange on a new connection, for messages that fit in memory.
kernel::result<buffered_response> fetch(const kernel::socket_address& address, const request_head& head,
                                        std::string_view body, std::chrono::milliseconds timeout,
                                        std::size_t maximum_body_bytes = 16U * 1024U * 1024U);

/// Runs one whole exchange on an idle connection, for messages that fit in memory.
kernel::result<buffered_response> exchange(client_connection& connection, const request_head& head,
                                           std::string_view body, std::chrono::milliseconds timeout,
                                           std::size_t maximum_body_bytes = 16U * 1024U * 1024U);

} // namespace wisterialane::http
