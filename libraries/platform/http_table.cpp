#include "libraries/platform/http_table.h"

#include "libraries/encoding/percent_encoding.h"
#include "libraries/platform/absence.h"
#include "libraries/platform/platform_events.h"

#include <nlohmann/json.hpp>

namespace wisterialane::platform {
namespace {

std::string table_target(std::string_view table_name)
{
    return "/tables/" + encoding::percent_encode(table_name);
}

std::string row_target(std::string_view table_name, std::string_view key)
{
    return table_target(table_name) + "/" + encoding::percent_encode(key);
}

/// The version in a strong entity tag.
std::optional<row_version> read_version(const http::response_head& head)
{
    const auto tag = head.headers.find("ETag");
    if (!tag || tag->size() < 3 || tag->front() != '"' || tag->back() != '"') {
        return std::nullopt;
    }
    return row_version{std::string{tag->substr(1, tag->size() - 2)}};
}

http::header_field matches(const row_version& version)
{
    return {"If-Match", "\"" + version.value() + "\""};
}

kernel::result<std::vector<row>> read_rows(std::string_view text)
{
    using nlohmann::json;
    std::vector<row> rows;
    try {
        const auto document = json::parse(text);
        for (const auto& entry : document.at("rows").get_ref<const json::array_t&>()) {
            rows.push_back({entry.at("key").get<std::string>(), entry.at("value").get<std::string>(),
                            row_version{entry.at("version").get<std::string>()}});
        }
    }
    catch (const json::exception&) {
        return kernel::fail(platform_event::unexpected_answer, "scan");
    }
    return rows;
}

} // namespace

kernel::result<std::optional<row>> http_table::read(std::string_view table_name, std::string_view key)
{
    const auto target = row_target(table_name, key);
    auto answer = client_.read(target);
    if (!answer) {
        return tl::unexpected{answer.error()};
    }
    if (says_absent(*answer)) {
        return std::nullopt;
    }
    auto version = read_version(answer->head);
    if (answer->head.status != 200 || !version) {
        return kernel::fail(platform_event::unexpected_answer, target);
    }
    return row{std::string{key}, std::move(answer->body), *std::move(version)};
}

kernel::result<std::vector<row>> http_table::scan(std::string_view table_name, std::string_view prefix,
                                                  std::string_view after, std::size_t limit)
{
    const auto target = table_target(table_name) + "?prefix=" + encoding::percent_encode(prefix) +
                        "&after=" + encoding::percent_encode(after) + "&limit=" + std::to_string(limit);
    const auto answer = client_.read(target);
    if (!answer) {
        return tl::unexpected{answer.error()};
    }
    if (answer->head.status != 200) {
        return kernel::fail(platform_event::unexpected_answer, target);
    }
    return read_rows(answer->body);
}

kernel::result<row_version> http_table::insert(std::string_view table_name, std::string_view key,
                                               std::string_view value)
{
    return put(table_name, key, value, {"If-None-Match", "*"});
}

kernel::result<row_version> http_table::update(std::string_view table_name, std::string_view key,
                                               std::string_view value, const row_version& expected)
{
    return put(table_name, key, value, matches(expected));
}

kernel::result<void> http_table::remove(std::string_view table_name, std::string_view key, const row_version& expected)
{
    http::request_head head{"DELETE", row_target(table_name, key), {}};
    const auto condition = matches(expected);
    head.headers.add(condition.name, condition.value);
    const auto answer = client_.write(head, "");
    if (!answer) {
        return tl::unexpected{answer.error()};
    }
    return {};
}

kernel::result<row_version> http_table::put(std::string_view table_name, std::string_view key, std::string_view value,
                                            const http::header_field& condition)
{
    http::request_head head{"PUT", row_target(table_name, key), {}};
    head.headers.add(condition.name, condition.value);
    head.headers.add("Content-Type", "text/plain; charset=utf-8");
    const auto answer = client_.write(head, value);
    if (!answer) {
        return tl::unexpected{answer.error()};
    }
    auto version = read_version(answer->head);
    if (!version) {
        // The write took effect, but without its version the caller has to read the row back.
        return kernel::fail(platform_event::outcome_unknown, "no ETag for " + head.target);
    }
    return *std::move(version);
}

} // namespace wisterialane::platform
