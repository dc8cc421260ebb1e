#include "services/operator_service.h"

#include "kernel/event_log.h"
#include "libraries/configuration/json_codec.h"
#include "services/operator_events.h"

#include <utility>

namespace wisterialane::services {
namespace {

void respond(http::server_exchange& exchange, const operator_response& response)
{
    http::header_list headers;
    headers.add("Content-Type", "application/json");
    headers.add("Cache-Control", "no-store");
    if (response.status == 401) {
        headers.add("WWW-Authenticate", "Bearer");
    }
    (void)exchange.respond(response.status, std::move(headers), configuration::write_json(response.body) + "\n");
}

} // namespace

kernel::result<std::unique_ptr<operator_service>> operator_service::create(configuration::configuration_view& view,
                                                                           platform::table& table,
                                                                           platform::object_store& objects,
                                                                           operator_service_settings settings)
{
    auto directory = operator_directory::create(settings.operators);
    if (!directory) {
        return tl::unexpected{directory.error()};
    }
    return std::unique_ptr<operator_service>{
        new operator_service{view, table, objects, std::move(settings), std::move(*directory)}};
}

operator_service::operator_service(configuration::configuration_view& view, platform::table& table,
                                   platform::object_store& objects, operator_service_settings settings,
                                   operator_directory directory)
    : settings_{std::move(settings)}, directory_{std::move(directory)}, api_{view, table, objects, settings_.clock}
{}

kernel::result<void> operator_service::start()
{
    auto created =
        http::server::create(settings_.server, [this](http::server_exchange& exchange) { handle(exchange); });
    if (!created) {
        return tl::unexpected{created.error()};
    }
    server_ = std::move(*created);
    kernel::log_event(kernel::severity::information, operator_event::operator_listening,
                      {{"address", server_->address().value()}});
    return {};
}

void operator_service::stop()
{
    server_.reset();
}

void operator_service::handle(http::server_exchange& exchange)
{
    auto sender = directory_.authenticate(exchange.head().headers);
    if (!sender) {
        kernel::log_event(kernel::severity::warning, operator_event::not_authenticated,
                          {{"address", exchange.remote_address()}});
        // The body stays unread, so the connection cannot carry another request.
        exchange.close_connection();
        respond(exchange, describe(kernel::failure{operator_event::not_authenticated, "bearer token"}));
        return;
    }
    operator_request request;
    request.sender = std::move(*sender);
    request.method = exchange.head().method;
    read_target(exchange.head().target, request);
    const auto path = exchange.head().target.substr(0, exchange.head().target.find('?'));
    const auto page = settings_.pages.find(path);
    if (page != settings_.pages.end() && request.method == "GET") {
        auto content = page->second();
        (void)exchange.respond(content.head.status, std::move(content.head.headers), content.body);
        return;
    }
    respond(exchange, answer(exchange, std::move(request)));
}

operator_response operator_service::answer(http::server_exchange& exchange, operator_request request)
{
    auto body = exchange.read_whole_body(configuration::maximum_input_bytes);
    if (!body) {
        return describe(body.error());
    }
    request.body = std::move(*body);
    auto response = api_.handle(request);
    if (response.status >= 400) {
        kernel::log_event(kernel::severity::information, operator_event::action_refused,
                          {{"operator", request.sender.value()},
                           {"method", request.method},
                           {"target", exchange.head().target},
                           {"status", std::to_string(response.status)},
                           {"reason", response.body["error"]["name"].get<std::string>()}});
    }
    return response;
}

} // namespace wisterialane::services
