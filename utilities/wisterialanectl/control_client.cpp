#include "utilities/wisterialanectl/control_client.h"

#include "libraries/http/client_connection.h"
#include "libraries/http/http_events.h"

namespace wisterialane::control {

control_result<nlohmann::json> control_client::get(const std::string& target) const
{
    return call("GET", target, "");
}

control_result<nlohmann::json> control_client::post(const std::string& target, const std::string& body) const
{
    return call("POST", target, body);
}

control_result<nlohmann::json> control_client::call(const std::string& method, const std::string& target,
                                                    const std::string& body) const
{
    http::request_head head{method, target, {}};
    head.headers.add("Authorization", "Bearer " + settings_.token);
    head.headers.add("Content-Type", "application/json");
    const auto response = http::fetch(settings_.operator_address, head, body, settings_.timeout);
    if (!response) {
        const auto& reason = response.error();
        const bool not_sent =
            reason.is(http::http_event::connect_failed) || reason.is(http::http_event::invalid_address);
        const auto subject = settings_.operator_address.value() + " " + std::string{reason.name()};
        if (method == "GET" || not_sent) {
            return fail(exit_code::unreachable, control_event::host_unreachable, subject);
        }
        return fail(exit_code::outcome_unknown, control_event::answer_lost, subject);
    }
    auto answer = nlohmann::json::parse(response->body, nullptr, false);
    if (response->head.status >= 400) {
        return tl::unexpected{failure_from(response->head.status, answer)};
    }
    if (answer.is_discarded()) {
        return fail(exit_code::unexpected, control_event::unexpected_answer, settings_.operator_address.value());
    }
    return answer;
}

} // namespace wisterialane::control
