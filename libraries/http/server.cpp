#include "libraries/http/server.h"

#include "libraries/http/http_events.h"
#include "libraries/http/request_framing.h"
#include "libraries/http/socket_address.h"

#include <array>
#include <mutex>
#include <string>
#include <utility>

#include <civetweb.h>

namespace wisterialane::http {
namespace {

void initialize_library()
{
    static std::once_flag once;
    std::call_once(once, [] { mg_init_library(0); });
}

request_head copy_head(const mg_request_info& information)
{
    request_head head;
    head.method = information.request_method;
    head.target = information.request_uri;
    if (information.query_string != nullptr) {
        head.target += '?';
        head.target += information.query_string;
    }
    for (int index = 0; index < information.num_headers; ++index) {
        const auto& field = information.http_headers[index];
        head.headers.add(field.name, field.value);
    }
    return head;
}

} // namespace

kernel::result<std::unique_ptr<server>> server::create(const server_settings& settings, handler handle)
{
    initialize_library();
    auto created = std::unique_ptr<server>{new server{std::move(handle)}};
    if (auto listening = created->listen(settings); !listening) {
        return tl::unexpected{listening.error()};
    }
    return created;
}

server::~server() = default;

void server::context_deleter::operator()(void* context) const
{
    mg_stop(static_cast<mg_context*>(context));
}

kernel::result<void> server::listen(const server_settings& settings)
{
    const auto parsed = parse_socket_address(settings.address);
    if (!parsed) {
        return tl::unexpected{parsed.error()};
    }
    const auto threads = std::to_string(settings.threads);
    const auto request_timeout = std::to_string(settings.request_timeout.count());
    const auto keep_alive_timeout = std::to_string(settings.keep_alive_timeout.count());
    // URLs stay undecoded, so that upstreams receive exactly the target that the caller sent.
    const std::array<const char*, 15> options{"listening_ports",
                                              settings.address.value().c_str(),
                                              "num_threads",
                                              threads.c_str(),
                                              "enable_keep_alive",
                                              "yes",
                                              "request_timeout_ms",
                                              request_timeout.c_str(),
                                              "keep_alive_timeout_ms",
                                              keep_alive_timeout.c_str(),
                                              "decode_url",
                                              "no",
                                              "tcp_nodelay",
                                              "1",
                                              nullptr};
    mg_callbacks callbacks{};
    // CivetWeb prints its own messages to a file otherwise; the failure code below replaces them.
    callbacks.log_message = [](const mg_connection*, const char*) { return 1; };
    auto* context = mg_start(&callbacks, nullptr, const_cast<const char**>(options.data()));
    if (context == nullptr) {
        return kernel::fail(http_event::address_in_use, settings.address.value());
    }
    context_.reset(context);
    mg_server_port port{};
    mg_get_server_ports(context, 1, &port);
    address_ = kernel::socket_address{parsed->ip + ":" + std::to_string(port.port)};
    mg_set_request_handler(
        context, "/", [](mg_connection* connection, void* self) { return on_request(connection, self); }, this);
    return {};
}

int server::on_request(void* connection, void* self)
{
    auto* raw = static_cast<mg_connection*>(connection);
    auto head = copy_head(*mg_get_request_info(raw));
    const auto size = read_request_framing(head);
    server_exchange exchange{connection, std::move(head), size.value_or(body_size{})};
    if (!size) {
        exchange.close_connection();
        header_list headers;
        headers.add("Content-Type", "application/json");
        headers.add("Wisterialane-Ran", "no");
        headers.add("Wisterialane-Reason", "malformed");
        (void)exchange.respond(400, std::move(headers), R"({"reason":"malformed","ran":"no"})");
        return 400;
    }
    static_cast<server*>(self)->handle_(exchange);
    if (!exchange.response_finished()) {
        exchange.close_connection();
    }
    // Any non-zero value tells CivetWeb that the request was handled.
    return 200;
}

} // namespace wisterialane::http
