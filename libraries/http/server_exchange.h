#pragma once

#include "kernel/failure.h"
#include "libraries/http/message.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace wisterialane::http {

/// One request and its response on the server's side. Used on the connection's thread only.
class server_exchange {
public:
    server_exchange(void* connection, request_head head, body_size size);

    [[nodiscard]] const request_head& head() const { return head_; }

    [[nodiscard]] const body_size& request_body() const { return size_; }

    [[nodiscard]] const std::string& remote_address() const { return remote_address_; }

    /// Reads the next bytes of the request body; 0 at its end. Fails with `body_cut` when the caller stopped early.
    kernel::result<std::size_t> read_body(std::span<char> buffer);

    /// Reads the whole request body. Fails with `body_too_large` when it has more than `maximum` bytes.
    kernel::result<std::string> read_whole_body(std::size_t maximum);

    /// Sends the status and headers; `size` decides the framing. The given headers contain no framing headers.
    kernel::result<void> start_response(const response_head& head, body_size size);
    kernel::result<void> write_body(std::string_view bytes);

    /// Ends the response. A response with a length must be complete.
    kernel::result<void> finish_response();

    /// Sends a whole response.
    kernel::result<void> respond(int status, header_list headers, std::string_view body);

    /// Closes the connection after this exchange; announced to the caller if the response has not started yet.
    void close_connection();

    [[nodiscard]] bool response_started() const { return response_started_; }

    [[nodiscard]] bool response_finished() const { return response_finished_; }

private:
    kernel::result<void> send(std::string_view bytes);
    void send_continue_if_expected();

    void* connection_;
    request_head head_;
    body_size size_;
    std::string remote_address_;
    std::uint64_t body_bytes_read_ = 0;
    body_size response_size_;
    std::uint64_t response_bytes_written_ = 0;
    bool closing_ = false;
    bool continue_sent_ = false;
    bool response_started_ = false;
    bool response_finished_ = false;
};

} // namespace wisterialane::http
