#include "libraries/http/client_connection.h"

#include "libraries/http/http_events.h"
#include "libraries/http/socket_address.h"

#include <array>
#include <utility>

#include <civetweb.h>

namespace wisterialane::http {
namespace {

mg_connection* raw(void* connection)
{
    return static_cast<mg_connection*>(connection);
}

response_head copy_head(const mg_response_info& information)
{
    response_head head;
    head.status = information.status_code;
    for (int index = 0; index < information.num_headers; ++index) {
        head.headers.add(information.http_headers[index].name, information.http_headers[index].value);
    }
    return head;
}

bool is_interim(int status)
{
    return status >= 100 && status < 200;
}

bool has_no_body(int status)
{
    return status == 204 || status == 304;
}

} // namespace

client_connection::client_connection(kernel::socket_address address, void* connection)
    : address_{std::move(address)}, connection_{connection}
{}

client_connection::~client_connection() = default;

void client_connection::connection_closer::operator()(void* connection) const
{
    mg_close_connection(raw(connection));
}

kernel::result<std::unique_ptr<client_connection>> client_connection::connect(const kernel::socket_address& address)
{
    const auto parsed = parse_socket_address(address);
    if (!parsed) {
        return tl::unexpected{parsed.error()};
    }
    std::array<char, 200> error{};
    auto* connection = mg_connect_client(parsed->ip.c_str(), parsed->port, 0, error.data(), error.size());
    if (connection == nullptr) {
        return kernel::fail(http_event::connect_failed, address.value());
    }
    return std::unique_ptr<client_connection>{new client_connection{address, connection}};
}

kernel::result<void> client_connection::send_head(const request_head& head, body_size size)
{
    ++exchanges_started_;
    is_head_request_ = head.method == "HEAD";
    request_size_ = size;
    std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
    if (head.headers.count("Host") == 0) {
        text += "Host: " + address_.value() + "\r\n";
    }
    for (const auto& field : head.headers.fields()) {
        text += field.name + ": " + field.value + "\r\n";
    }
    if (size.framing == body_framing::length) {
        text += "Content-Length: " + std::to_string(size.length) + "\r\n";
    }
    if (size.framing == body_framing::chunked) {
        text += "Transfer-Encoding: chunked\r\n";
    }
    text += "\r\n";
    state_ = state::sending;
    return send(text);
}

kernel::result<void> client_connection::send_body(std::string_view bytes)
{
    if (bytes.empty()) {
        return {};
    }
    if (request_size_.framing != body_framing::chunked) {
        return send(bytes);
    }
    if (mg_send_chunk(raw(connection_.get()), bytes.data(), static_cast<unsigned>(bytes.size())) < 0) {
        state_ = state::failed;
        return kernel::fail(http_event::send_failed, address_.value());
    }
    return {};
}

kernel::result<void> client_connection::finish_request()
{
    if (request_size_.framing == body_framing::chunked && mg_send_chunk(raw(connection_.get()), "", 0) < 0) {
        state_ = state::failed;
        return kernel::fail(http_event::send_failed, address_.value());
    }
    state_ = state::awaiting_response;
    return {};
}

kernel::result<response_head> client_connection::receive_head(std::chrono::milliseconds timeout)
{
    std::array<char, 200> error{};
    const auto started = kernel::boot_clock::now();
    const int received =
        mg_get_response(raw(connection_.get()), error.data(), error.size(), static_cast<int>(timeout.count()));
    const auto* information = received < 0 ? nullptr : mg_get_response_info(raw(connection_.get()));
    state_ = state::failed;
    if (information == nullptr) {
        // CivetWeb reports a closed connection and a silent one in the same way; only the time tells them apart.
        const bool waited_in_full = kernel::boot_clock::now() - started >= timeout;
        return kernel::fail(waited_in_full ? http_event::receive_timeout : http_event::receive_failed,
                            address_.value());
    }
    auto head = copy_head(*information);
    if (is_interim(head.status)) {
        return kernel::fail(http_event::interim_response, address_.value());
    }
    if (auto framing = read_framing(head); !framing) {
        return tl::unexpected{framing.error()};
    }
    state_ = response_size_.framing == body_framing::none ? state::idle : state::receiving;
    return head;
}

kernel::result<void> client_connection::read_framing(const response_head& head)
{
    body_bytes_received_ = 0;
    response_size_ = {};
    const auto connection = head.headers.find("Connection");
    keep_alive_ = !connection || !equal_ignoring_case(*connection, "close");
    const auto coding = head.headers.find("Transfer-Encoding");
    const auto length = head.headers.find("Content-Length");
    if (head.headers.count("Content-Length") > 1 || (coding && length)) {
        return kernel::fail(http_event::body_length_unknown, address_.value());
    }
    if (is_head_request_ || has_no_body(head.status)) {
        return {};
    }
    if (coding) {
        response_size_.framing = body_framing::chunked;
        return {};
    }
    const long long declared = mg_get_response_info(raw(connection_.get()))->content_length;
    if (!length || declared < 0) {
        return kernel::fail(http_event::body_length_unknown, address_.value());
    }
    if (declared > 0) {
        response_size_ = {body_framing::length, static_cast<std::uint64_t>(declared)};
    }
    return {};
}

kernel::result<std::size_t> client_connection::receive_body(std::span<char> buffer)
{
    if (state_ == state::idle) {
        return 0;
    }
    const int count = mg_read(raw(connection_.get()), buffer.data(), buffer.size());
    const bool ended = count == 0 && response_size_.framing == body_framing::chunked;
    if (count < 0 || (count == 0 && !ended)) {
        state_ = state::failed;
        return kernel::fail(http_event::body_cut, address_.value());
    }
    body_bytes_received_ += static_cast<std::uint64_t>(count);
    if (ended || (response_size_.framing == body_framing::length && body_bytes_received_ == response_size_.length)) {
        state_ = state::idle;
    }
    return static_cast<std::size_t>(count);
}

bool client_connection::reusable() const
{
    return state_ == state::idle && keep_alive_;
}

kernel::result<void> client_connection::send(std::string_view bytes)
{
    const int written = mg_write(raw(connection_.get()), bytes.data(), bytes.size());
    if (written < 0 || static_cast<std::size_t>(written) != bytes.size()) {
        state_ = state::failed;
        return kernel::fail(http_event::send_failed, address_.value());
    }
    return {};
}

kernel::result<std::string> receive_whole_body(client_connection& connection, std::size_t maximum_bytes)
{
    std::string body;
    std::array<char, 16 * 1024> buffer{};
    while (true) {
        const auto count = connection.receive_body(buffer);
        if (!count) {
            return tl::unexpected{count.error()};
        }
        if (*count == 0) {
            return body;
        }
        if (body.size() + *count > maximum_bytes) {
            return kernel::fail(http_event::body_too_large, connection.address().value());
        }
        body.append(buffer.data(), *count);
    }
}

kernel::result<buffered_response> exchange(client_connection& connection, const request_head& head,
                                           std::string_view body, std::chrono::milliseconds timeout,
                                           std::size_t maximum_body_bytes)
{
    const bool has_body = !body.empty() || head.method == "POST" || head.method == "PUT";
    const body_size size = has_body ? body_size{body_framing::length, body.size()} : body_size{body_framing::none, 0};
    auto sent = connection.send_head(head, size).and_then([&] { return connection.send_body(body); }).and_then([&] {
        return connection.finish_request();
    });
    if (!sent) {
        return tl::unexpected{sent.error()};
    }
    auto received = connection.receive_head(timeout);
    if (!received) {
        return tl::unexpected{received.error()};
    }
    auto received_body = receive_whole_body(connection, maximum_body_bytes);
    if (!received_body) {
        return tl::unexpected{received_body.error()};
    }
    return buffered_response{std::move(*received), std::move(*received_body)};
}

kernel::result<buffered_response> fetch(const kernel::socket_address& address, const request_head& head,
                                        std::string_view body, std::chrono::milliseconds timeout,
                                        std::size_t maximum_body_bytes)
{
    auto connection = client_connection::connect(address);
    if (!connection) {
        return tl::unexpected{connection.error()};
    }
    return exchange(**connection, head, body, timeout, maximum_body_bytes);
}

} // namespace wisterialane::http
