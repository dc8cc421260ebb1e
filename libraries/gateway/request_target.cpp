#include "libraries/gateway/request_target.h"

#include "libraries/gateway/gateway_events.h"
#include "libraries/gateway/key_text.h"

#include <functional>

namespace wisterialane::gateway {
namespace {

bool is_unreserved(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'A' && character <= 'Z') ||
           (character >= 'a' && character <= 'z') || character == '-' || character == '.' || character == '_' ||
           character == '~';
}

bool is_forbidden_in_path(char decoded)
{
    const auto byte = static_cast<unsigned char>(decoded);
    return byte < 0x20 || byte == 0x7f || decoded == '\\';
}

kernel::result<std::string> normalize_path(std::string_view path)
{
    std::string normalized;
    for (std::size_t index = 0; index < path.size(); ++index) {
        if (path[index] != '%') {
            normalized.push_back(path[index]);
            continue;
        }
        const auto sequence = path.substr(index, 3);
        const auto decoded = percent_decode(sequence);
        if (sequence.size() != 3 || decoded.size() != 1 || is_forbidden_in_path(decoded[0]) || decoded[0] == '/') {
            return kernel::fail(gateway_event::malformed_target, "percent-encoding");
        }
        if (is_unreserved(decoded[0])) {
            normalized += decoded;
        }
        else {
            normalized += sequence;
        }
        index += 2;
    }
    return normalized;
}

bool has_ambiguous_segment(std::string_view path)
{
    std::size_t start = 1;
    while (start <= path.size()) {
        const auto end = std::min(path.find('/', start), path.size());
        const auto segment = path.substr(start, end - start);
        const bool last = end == path.size();
        if (segment == "." || segment == ".." || (segment.empty() && !last)) {
            return true;
        }
        start = end + 1;
    }
    return false;
}

void for_each_parameter(std::string_view query, const std::function<void(std::string_view)>& use)
{
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        use(query.substr(0, end));
        query.remove_prefix(std::min(end + 1, query.size()));
    }
}

} // namespace

kernel::result<request_target> parse_request_target(std::string_view target)
{
    request_target parsed;
    const auto question_mark = target.find('?');
    parsed.path = target.substr(0, question_mark);
    if (question_mark != std::string_view::npos) {
        parsed.query = target.substr(question_mark + 1);
    }
    if (parsed.path.empty() || parsed.path[0] != '/') {
        return kernel::fail(gateway_event::malformed_target, "absolute path expected");
    }
    for (const char character : target) {
        if (is_forbidden_in_path(character) || character == ' ' || character == '#') {
            return kernel::fail(gateway_event::malformed_target, "character");
        }
    }
    if (holds_key(parsed.path)) {
        return kernel::fail(gateway_event::key_in_path);
    }
    auto normalized = normalize_path(parsed.path);
    if (!normalized) {
        return tl::unexpected{normalized.error()};
    }
    if (has_ambiguous_segment(*normalized)) {
        return kernel::fail(gateway_event::malformed_target, "path segment");
    }
    parsed.normalized_path = std::move(*normalized);
    return parsed;
}

std::optional<std::string> query_parameter(std::string_view query, std::string_view name)
{
    std::optional<std::string> value;
    for_each_parameter(query, [&](std::string_view parameter) {
        const auto equals = std::min(parameter.find('='), parameter.size());
        if (!value && percent_decode(parameter.substr(0, equals)) == name) {
            value = percent_decode(parameter.substr(std::min(equals + 1, parameter.size())));
        }
    });
    return value;
}

std::string query_without_keys(std::string_view query)
{
    std::string kept;
    for_each_parameter(query, [&](std::string_view parameter) {
        if (holds_key(parameter)) {
            return;
        }
        if (!kept.empty()) {
            kept += '&';
        }
        kept += parameter;
    });
    return kept;
}

} // namespace wisterialane::gateway
