#include "libraries/http/request_framing.h"

#include "libraries/http/http_events.h"

#include <charconv>
#include <cstdint>
#include <string_view>

namespace wisterialane::http {
namespace {

kernel::result<std::uint64_t> parse_length(std::string_view text)
{
    std::uint64_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
        return kernel::fail(http_event::malformed_request, "Content-Length");
    }
    return length;
}

} // namespace

kernel::result<body_size> read_request_framing(const request_head& head)
{
    const auto lengths = head.headers.count("Content-Length");
    const auto codings = head.headers.count("Transfer-Encoding");
    if (lengths > 1 || codings > 1 || (lengths == 1 && codings == 1)) {
        return kernel::fail(http_event::malformed_request, "framing headers");
    }
    if (codings == 1) {
        if (!equal_ignoring_case(*head.headers.find("Transfer-Encoding"), "chunked")) {
            return kernel::fail(http_event::malformed_request, "Transfer-Encoding");
        }
        return body_size{body_framing::chunked, 0};
    }
    if (lengths == 1) {
        const auto length = parse_length(*head.headers.find("Content-Length"));
        if (!length) {
            return tl::unexpected{length.error()};
        }
        return body_size{body_framing::length, *length};
    }
    return body_size{};
}

} // namespace wisterialane::http
