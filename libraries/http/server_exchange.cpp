#include "libraries/http/server_exchange.h"

#include "libraries/http/http_events.h"

#include <algorithm>
#include <array>
#include <utility>

#include <civetweb.h>

namespace wisterialane::http {
namespace {

mg_connection* raw(void* connection)
{
    return static_cast<mg_connection*>(connection);
}

} // namespace

server_exchange::server_exchange(void* connection, request_head head, body_size size)
    : connection_{connection}, head_{std::move(head)}, size_{size},
      remote_address_{mg_get_request_info(raw(connection))->remote_addr}
{}

void server_exchange::send_continue_if_expected()
{
    if (continue_sent_ || response_started_) {
        return;
    }
    continue_sent_ = true;
    const auto expectation = head_.headers.find("Expect");
    if (expectation && equal_ignoring_case(*expectation, "100-continue")) {
        (void)send("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

kernel::result<std::size_t> server_exchange::read_body(std::span<char> buffer)
{
    if (size_.framing == body_framing::none) {
        return 0;
    }
    if (size_.framing == body_framing::length && body_bytes_read_ == size_.length) {
        return 0;
    }
    send_continue_if_expected();
    const int count = mg_read(raw(connection_), buffer.data(), buffer.size());
    if (count < 0 || (count == 0 && size_.framing == body_framing::length)) {
        close_connection();
        return kernel::fail(http_event::body_cut, remote_address_);
    }
    body_bytes_read_ += static_cast<std::uint64_t>(count);
    return static_cast<std::size_t>(count);
}

kernel::result<std::string> server_exchange::read_whole_body(std::size_t maximum)
{
    std::string body;
    std::array<char, 16 * 1024> buffer{};
    while (true) {
        const auto count = read_body(buffer);
        if (!count) {
            return tl::unexpected{count.error()};
        }
        if (*count == 0) {
            return body;
        }
        if (body.size() + *count > maximum) {
            close_connection();
            return kernel::fail(http_event::body_too_large, std::to_string(maximum));
        }
        body.append(buffer.data(), *count);
    }
}

kernel::result<void> server_exchange::start_response(const response_head& head, body_size size)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " + reason_phrase(head.status) + "\r\n";
    for (const auto& field : head.headers.fields()) {
        text += field.name + ": " + field.value + "\r\n";
    }
    if (size.framing == body_framing::length) {
        text += "Content-Length: " + std::to_string(size.length) + "\r\n";
    }
    if (size.framing == body_framing::chunked) {
        text += "Transfer-Encoding: chunked\r\n";
    }
    text += closing_ ? "Connection: close\r\n\r\n" : "Connection: keep-alive\r\n\r\n";
    response_started_ = true;
    response_size_ = size;
    return send(text);
}

kernel::result<void> server_exchange::write_body(std::string_view bytes)
{
    if (bytes.empty()) {
        return {};
    }
    response_bytes_written_ += bytes.size();
    if (response_size_.framing != body_framing::chunked) {
        return send(bytes);
    }
    const auto length = static_cast<unsigned>(bytes.size());
    if (mg_send_chunk(raw(connection_), bytes.data(), length) < 0) {
        close_connection();
        return kernel::fail(http_event::send_failed, remote_address_);
    }
    return {};
}

kernel::result<void> server_exchange::finish_response()
{
    if (response_size_.framing == body_framing::chunked && mg_send_chunk(raw(connection_), "", 0) < 0) {
        close_connection();
        return kernel::fail(http_event::send_failed, remote_address_);
    }
    if (response_size_.framing == body_framing::length && response_bytes_written_ != response_size_.length) {
        close_connection();
        return kernel::fail(http_event::body_cut, remote_address_);
    }
    response_finished_ = true;
    return {};
}

kernel::result<void> server_exchange::respond(int status, header_list headers, std::string_view body)
{
    response_head head{status, std::move(headers)};
    if (auto started = start_response(head, {body_framing::length, body.size()}); !started) {
        return started;
    }
    // The answer to HEAD has the length of the body but not the body itself.
    if (head_.method == "HEAD") {
        response_finished_ = true;
        return {};
    }
    if (auto written = write_body(body); !written) {
        return written;
    }
    return finish_response();
}

void server_exchange::close_connection()
{
    closing_ = true;
    mg_disable_connection_keep_alive(raw(connection_));
}

kernel::result<void> server_exchange::send(std::string_view bytes)
{
    // mg_write reports -1 or 0 when the peer is gone and may write fewer bytes than asked for when it stalls.
    const int written = mg_write(raw(connection_), bytes.data(), bytes.size());
    if (written < 0 || static_cast<std::size_t>(written) != bytes.size()) {
        close_connection();
        return kernel::fail(http_event::send_failed, remote_address_);
    }
    return {};
}

} // namespace wisterialane::http
