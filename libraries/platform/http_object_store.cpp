#include "libraries/platform/http_object_store.h"

#include "libraries/encoding/percent_encoding.h"
#include "libraries/platform/absence.h"
#include "libraries/platform/platform_events.h"

namespace wisterialane::platform {
namespace {

std::string object_target(std::string_view key)
{
    return "/objects/" + encoding::percent_encode(key);
}

} // namespace

kernel::result<std::optional<std::string>> http_object_store::get(std::string_view key)
{
    const auto target = object_target(key);
    auto answer = client_.read(target);
    if (!answer) {
        return tl::unexpected{answer.error()};
    }
    if (says_absent(*answer)) {
        return std::nullopt;
    }
    if (answer->head.status != 200) {
        return kernel::fail(platform_event::unexpected_answer, target);
    }
    return std::move(answer->body);
}

kernel::result<void> http_object_store::put(std::string_view key, std::string_view bytes)
{
    http::request_head head{"PUT", object_target(key), {}};
    head.headers.add("If-None-Match", "*");
    head.headers.add("Content-Type", "application/octet-stream");
    const auto answer = client_.write(head, bytes);
    if (!answer) {
        return tl::unexpected{answer.error()};
    }
    return {};
}

} // namespace wisterialane::platform
