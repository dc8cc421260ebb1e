#include "services/operator_message.h"

#include "libraries/configuration/configuration_events.h"
#include "libraries/configuration/json_codec.h"
#include "libraries/http/http_events.h"
#include "libraries/platform/platform_events.h"
#include "services/operator_events.h"

#include <algorithm>
#include <initializer_list>
#include <utility>

namespace wisterialane::services {
namespace {

using configuration::configuration_event;
using nlohmann::json;
using platform::platform_event;

template <class Code>
bool is_any(const kernel::failure& reason, std::initializer_list<Code> codes)
{
    return std::any_of(codes.begin(), codes.end(), [&reason](Code code) { return reason.is(code); });
}

int status_of(const kernel::failure& reason)
{
    if (is_any(reason, {configuration_event::malformed_input, configuration_event::version_gap}) ||
        reason.is(operator_event::invalid_parameter)) {
        return 400;
    }
    if (reason.is(operator_event::not_authenticated)) {
        return 401;
    }
    if (is_any(reason, {configuration_event::review_missing, configuration_event::reviewer_is_author})) {
        return 403;
    }
    if (is_any(reason, {configuration_event::proposal_unknown, configuration_event::object_missing}) ||
        is_any(reason, {operator_event::unknown_path}) || reason.is(platform_event::not_found)) {
        return 404;
    }
    if (reason.is(operator_event::method_not_allowed)) {
        return 405;
    }
    if (is_any(reason, {configuration_event::proposal_conflict, configuration_event::proposal_already_published,
                        configuration_event::version_raced}) ||
        reason.is(platform_event::conflict)) {
        return 409;
    }
    if (reason.is(configuration_event::input_too_large) || reason.is(http::http_event::body_too_large)) {
        return 413;
    }
    if (reason.is(configuration_event::check_failed)) {
        return 422;
    }
    if (is_any(reason, {platform_event::unreachable, platform_event::timeout})) {
        return 503;
    }
    if (reason.is(configuration_event::publish_outcome_unknown) || reason.is(platform_event::outcome_unknown)) {
        return 504;
    }
    return 500;
}

json encode_faults(const std::vector<configuration::fault>& faults)
{
    auto values = json::array();
    for (const auto& item : faults) {
        values.push_back(configuration::encode_fault(item));
    }
    return values;
}

void read_query(std::string_view text, std::map<std::string, std::string>& query)
{
    while (!text.empty()) {
        const auto end = std::min(text.find('&'), text.size());
        const auto pair = text.substr(0, end);
        const auto separator = std::min(pair.find('='), pair.size());
        query[std::string{pair.substr(0, separator)}] =
            separator < pair.size() ? std::string{pair.substr(separator + 1)} : std::string{};
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

} // namespace

void read_target(std::string_view target, operator_request& request)
{
    const auto query_start = std::min(target.find('?'), target.size());
    auto path = target.substr(0, query_start);
    if (query_start < target.size()) {
        read_query(target.substr(query_start + 1), request.query);
    }
    while (path.starts_with('/')) {
        path.remove_prefix(1);
        const auto end = std::min(path.find('/'), path.size());
        request.segments.emplace_back(path.substr(0, end));
        path.remove_prefix(end);
    }
}

operator_response describe(const kernel::failure& reason)
{
    return {status_of(reason),
            {{"error", {{"number", reason.number()}, {"name", reason.name()}, {"subject", reason.subject()}}}}};
}

operator_response describe(const std::vector<configuration::fault>& faults)
{
    auto response =
        describe(kernel::failure{configuration_event::check_failed, std::to_string(faults.size()) + " faults"});
    response.body["faults"] = encode_faults(faults);
    return response;
}

operator_response describe(const configuration::publish_refusal& refusal)
{
    auto response = describe(refusal.reason);
    if (!refusal.faults.empty()) {
        response.body["faults"] = encode_faults(refusal.faults);
    }
    for (const auto& reference : refusal.conflicts) {
        response.body["conflicts"].push_back(
            {{"kind", configuration::to_text(reference.kind)}, {"name", reference.name}});
    }
    return response;
}

} // namespace wisterialane::services
