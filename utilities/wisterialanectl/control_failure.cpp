#include "utilities/wisterialanectl/control_failure.h"

#include <utility>

namespace wisterialane::control {
namespace {

exit_code code_of(int status)
{
    switch (status) {
    case 401:
    case 403:
        return exit_code::refused;
    case 404:
        return exit_code::not_found;
    case 400:
    case 413:
    case 422:
        return exit_code::faults;
    case 409:
        return exit_code::conflict;
    case 503:
        return exit_code::unreachable;
    case 504:
        return exit_code::outcome_unknown;
    default:
        return exit_code::unexpected;
    }
}

} // namespace

tl::unexpected<control_failure> fail(exit_code code, control_event event, std::string subject)
{
    return tl::unexpected{
        control_failure{code, static_cast<int>(event), std::string{to_name(event)}, std::move(subject), {}}};
}

control_failure failure_from(int status, const nlohmann::json& answer)
{
    const auto error = answer.is_object() ? answer.value("error", nlohmann::json::object()) : nlohmann::json::object();
    if (!error.is_object() || !error.contains("number") || !error["number"].is_number_integer() ||
        !error.contains("name") || !error["name"].is_string()) {
        return fail(exit_code::unexpected, control_event::unexpected_answer, "status " + std::to_string(status))
            .value();
    }
    const auto subject = error.value("subject", nlohmann::json{});
    return {code_of(status), error["number"].get<int>(), error["name"].get<std::string>(),
            subject.is_string() ? subject.get<std::string>() : std::string{}, answer};
}

} // namespace wisterialane::control
