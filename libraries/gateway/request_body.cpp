#include "libraries/gateway/request_body.h"

#include "libraries/gateway/request_fingerprint.h"
#include "libraries/http/http_events.h"

#include <array>
#include <string_view>

namespace wisterialane::gateway {

kernel::result<void> request_body::read_ahead()
{
    const auto& declared = exchange_.request_body();
    if (declared.framing == http::body_framing::length && declared.length > maximum_bytes_) {
        return kernel::fail(http::http_event::body_too_large, std::to_string(declared.length));
    }
    while (!ended_ && beginning_.size() < fingerprinted_body_bytes) {
        auto bytes = read_masked();
        if (!bytes) {
            return tl::unexpected{bytes.error()};
        }
        beginning_ += *bytes;
    }
    return {};
}

http::body_size request_body::size() const
{
    const auto& declared = exchange_.request_body();
    if (declared.framing == http::body_framing::chunked && ended_) {
        return {http::body_framing::length, beginning_.size()};
    }
    return declared;
}

kernel::result<std::string> request_body::next()
{
    std::string bytes;
    // The mask can hold back all bytes of a small piece, and an empty result means the end of the body.
    while (!ended_ && bytes.empty()) {
        auto masked = read_masked();
        if (!masked) {
            return masked;
        }
        bytes = std::move(*masked);
    }
    return bytes;
}

kernel::result<std::string> request_body::read_masked()
{
    std::array<char, 16 * 1024> buffer{};
    const auto count = exchange_.read_body(buffer);
    if (!count) {
        return tl::unexpected{count.error()};
    }
    if (*count == 0) {
        ended_ = true;
        return mask_.finish();
    }
    bytes_read_ += *count;
    if (bytes_read_ > maximum_bytes_) {
        exchange_.close_connection();
        return kernel::fail(http::http_event::body_too_large, std::to_string(bytes_read_));
    }
    return mask_.push(std::string_view{buffer.data(), *count});
}

} // namespace wisterialane::gateway
