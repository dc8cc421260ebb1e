#include "libraries/gateway/forwarded_headers.h"

#include "libraries/gateway/gateway_events.h"
#include "libraries/gateway/key_text.h"

#include <algorithm>
#include <array>
#include <functional>
#include <vector>

namespace wisterialane::gateway {
namespace {

constexpr std::array<std::string_view, 11> hop_by_hop_headers{"Connection",
                                                              "Keep-Alive",
                                                              "Proxy-Authenticate",
                                                              "Proxy-Authorization",
                                                              "Proxy-Connection",
                                                              "TE",
                                                              "Trailer",
                                                              "Transfer-Encoding",
                                                              "Upgrade",
                                                              "Content-Length",
                                                              "Expect"};

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const auto end = std::min(text.find(separator), text.size());
        parts.push_back(trim(text.substr(0, end)));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

bool starts_with_ignoring_case(std::string_view text, std::string_view prefix)
{
    return text.size() >= prefix.size() && http::equal_ignoring_case(text.substr(0, prefix.size()), prefix);
}

bool is_hop_by_hop(std::string_view name)
{
    return std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                       [name](std::string_view known) { return http::equal_ignoring_case(known, name); });
}

// Headers that the Connection header names are meant for this hop only (RFC 9110, section 7.6.1).
std::vector<std::string> headers_named_by_connection(const http::header_list& headers)
{
    std::vector<std::string> names;
    for (const auto& field : headers.fields()) {
        if (http::equal_ignoring_case(field.name, "Connection")) {
            for (const auto name : split(field.value, ',')) {
                names.emplace_back(name);
            }
        }
    }
    return names;
}

http::header_list end_to_end_headers(const http::header_list& headers)
{
    const auto named = headers_named_by_connection(headers);
    http::header_list kept;
    for (const auto& field : headers.fields()) {
        const bool listed = std::any_of(named.begin(), named.end(), [&field](const std::string& name) {
            return http::equal_ignoring_case(name, field.name);
        });
        if (!listed && !is_hop_by_hop(field.name) && !starts_with_ignoring_case(field.name, own_header_prefix)) {
            kept.add(field.name, field.value);
        }
    }
    return kept;
}

std::string cookies_without_keys(std::string_view cookies)
{
    std::string kept;
    for (const auto cookie : split(cookies, ';')) {
        if (holds_key(cookie)) {
            continue;
        }
        if (!kept.empty()) {
            kept += "; ";
        }
        kept += cookie;
    }
    return kept;
}

std::optional<std::string> bearer_token(std::string_view authorization)
{
    static constexpr std::string_view scheme = "Bearer ";
    if (!starts_with_ignoring_case(authorization, scheme)) {
        return std::nullopt;
    }
    return std::string{trim(authorization.substr(scheme.size()))};
}

} // namespace

kernel::result<std::optional<std::string>> presented_key(const http::header_list& headers)
{
    std::optional<std::string> key;
    for (const auto& field : headers.fields()) {
        std::optional<std::string> found;
        if (http::equal_ignoring_case(field.name, "Authorization")) {
            found = bearer_token(field.value);
        }
        else if (http::equal_ignoring_case(field.name, key_header)) {
            found = std::string{trim(field.value)};
        }
        if (found && key && *found != *key) {
            return kernel::fail(gateway_event::conflicting_keys);
        }
        if (found) {
            key = std::move(found);
        }
    }
    return key;
}

http::header_list request_headers_for_upstream(const http::header_list& headers)
{
    const auto candidates = end_to_end_headers(headers);
    http::header_list kept;
    for (const auto& field : candidates.fields()) {
        if (http::equal_ignoring_case(field.name, "Authorization") || holds_key(field.name)) {
            continue;
        }
        if (!holds_key(field.value)) {
            kept.add(field.name, field.value);
            continue;
        }
        auto cookies =
            http::equal_ignoring_case(field.name, "Cookie") ? cookies_without_keys(field.value) : std::string{};
        if (!cookies.empty()) {
            kept.add(field.name, std::move(cookies));
        }
    }
    return kept;
}

http::header_list response_headers_for_caller(const http::header_list& headers)
{
    return end_to_end_headers(headers);
}

} // namespace wisterialane::gateway
