#include "tests/stand_ins/platform/platform_api.h"

#include "libraries/platform/listed_host_codec.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace wisterialane::stand_ins {
namespace {

using nlohmann::json;

constexpr std::size_t maximum_row_bytes = 1024U * 1024U;
constexpr std::size_t maximum_key_bytes = 512;
constexpr std::size_t maximum_scan_rows = 1000;

http::buffered_response answer(int status, std::string_view content_type = {}, std::string body = {})
{
    http::buffered_response response;
    response.head.status = status;
    response.body = std::move(body);
    if (!content_type.empty()) {
        response.head.headers.add("Content-Type", std::string{content_type});
    }
    return response;
}

http::buffered_response with_version(http::buffered_response response, const platform::row_version& version)
{
    response.head.headers.add("ETag", "\"" + version.value() + "\"");
    return response;
}

bool is_utf8(std::string_view text)
{
    try {
        (void)json(std::string{text}).dump();
        return true;
    }
    catch (const json::exception&) {
        return false;
    }
}

bool requires_absence(const http::request_head& head)
{
    return head.headers.find("If-None-Match") == std::optional<std::string_view>{"*"};
}

/// The version in `If-Match`, which holds exactly one strong entity tag.
std::optional<platform::row_version> required_version(const http::request_head& head)
{
    const auto tag = head.headers.find("If-Match");
    if (!tag || tag->size() < 3 || tag->front() != '"' || tag->back() != '"') {
        return std::nullopt;
    }
    return platform::row_version{std::string{tag->substr(1, tag->size() - 2)}};
}

bool has_valid_key(const std::string& key)
{
    return !key.empty() && key.size() <= maximum_key_bytes;
}

} // namespace

request_kind classify(const http::request_head& head)
{
    if (head.method == "GET") {
        return request_kind::read;
    }
    return head.target.compare(0, 7, "/hosts/") == 0 ? request_kind::announcement : request_kind::write;
}

http::buffered_response error_answer(int status, std::string_view error)
{
    return answer(status, "application/json", json{{"error", error}}.dump());
}

http::buffered_response platform_api::handle(const http::request_head& head, std::string_view body,
                                             kernel::time_point now)
{
    const auto target = parse_request_target(head.target);
    if (!target) {
        return error_answer(400, "malformed_target");
    }
    const auto& segments = target->segments;
    const bool is_get = head.method == "GET";
    if (segments.size() == 2 && segments[0] == "tables" && is_get) {
        return scan(*target);
    }
    if (segments.size() == 3 && segments[0] == "tables" && has_valid_key(segments[2])) {
        return handle_row(head, *target, body);
    }
    if (segments.size() == 2 && segments[0] == "objects" && has_valid_key(segments[1])) {
        return handle_object(head, segments[1], body);
    }
    if (segments.size() == 1 && segments[0] == "hosts" && is_get) {
        return answer(200, "application/json", platform::write_listed_hosts(state_.read_hosts(now)));
    }
    if (segments.size() == 2 && segments[0] == "hosts" && head.method == "PUT") {
        return announce(segments[1], body, now);
    }
    return error_answer(404, "no_such_resource");
}

http::buffered_response platform_api::scan(const request_target& target) const
{
    const auto parameter = [&target](std::string_view name) {
        const auto found = target.query.find(name);
        return found == target.query.end() ? std::string{} : found->second;
    };
    const auto limit_text = parameter("limit");
    std::size_t limit = maximum_scan_rows;
    const char* last = limit_text.data() + limit_text.size();
    if (!limit_text.empty()) {
        const auto [end, error] = std::from_chars(limit_text.data(), last, limit);
        if (error != std::errc{} || end != last) {
            return error_answer(400, "malformed_limit");
        }
    }
    json rows = json::array();
    for (const auto& row : state_.scan_rows(target.segments[1], parameter("prefix"), parameter("after"),
                                            std::min(limit, maximum_scan_rows))) {
        rows.push_back({{"key", row.key}, {"value", row.value}, {"version", row.version.value()}});
    }
    return answer(200, "application/json", json{{"rows", std::move(rows)}}.dump());
}

http::buffered_response platform_api::handle_row(const http::request_head& head, const request_target& target,
                                                 std::string_view body)
{
    if (head.method == "PUT") {
        return put_row(head, target, body);
    }
    if (head.method == "DELETE") {
        return delete_row(head, target);
    }
    if (head.method != "GET") {
        return error_answer(405, "method_not_allowed");
    }
    const auto row = state_.read_row(target.segments[1], target.segments[2]);
    if (!row) {
        return error_answer(404, "absent");
    }
    return with_version(answer(200, "text/plain; charset=utf-8", row->value), row->version);
}

http::buffered_response platform_api::put_row(const http::request_head& head, const request_target& target,
                                              std::string_view body)
{
    if (body.size() > maximum_row_bytes) {
        return error_answer(413, "value_too_large");
    }
    if (!is_utf8(body) || !is_utf8(target.segments[2])) {
        return error_answer(400, "not_utf8");
    }
    const auto version = required_version(head);
    if (requires_absence(head) == version.has_value()) {
        return error_answer(428, "condition_required");
    }
    const auto& [table_name, key] = std::tie(target.segments[1], target.segments[2]);
    const auto written =
        version ? state_.update_row(table_name, key, body, *version) : state_.insert_row(table_name, key, body);
    if (!written) {
        return error_answer(412, "conflict");
    }
    return with_version(answer(version ? 200 : 201), *written);
}

http::buffered_response platform_api::delete_row(const http::request_head& head, const request_target& target)
{
    const auto version = required_version(head);
    if (!version) {
        return error_answer(428, "condition_required");
    }
    if (!state_.remove_row(target.segments[1], target.segments[2], *version)) {
        return error_answer(412, "conflict");
    }
    return answer(204);
}

http::buffered_response platform_api::handle_object(const http::request_head& head, const std::string& key,
                                                    std::string_view body)
{
    if (head.method == "PUT") {
        if (!requires_absence(head)) {
            return error_answer(428, "condition_required");
        }
        return state_.put_object(key, body) ? answer(201) : error_answer(412, "conflict");
    }
    if (head.method != "GET") {
        return error_answer(405, "method_not_allowed");
    }
    auto bytes = state_.get_object(key);
    return bytes ? answer(200, "application/octet-stream", *std::move(bytes)) : error_answer(404, "absent");
}

http::buffered_response platform_api::announce(const std::string& instance, std::string_view body,
                                               kernel::time_point now)
{
    const auto host = platform::read_listed_host(body);
    if (!host || host->role != platform::listed_role::entry_host || host->instance.value() != instance) {
        return error_answer(400, "malformed_entry");
    }
    state_.announce_host(*host, now);
    return answer(204);
}

} // namespace wisterialane::stand_ins
