#pragma once

#include "kernel/failure.h"
#include "libraries/gateway/key_mask.h"
#include "libraries/http/server_exchange.h"

#include <cstdint>
#include <string>

namespace wisterialane::gateway {

/// A caller's request body on its way to an upstream, with keys masked. The first bytes are read ahead, so that a small
/// body can be sent again to another upstream.
class request_body {
public:
    request_body(http::server_exchange& exchange, std::uint64_t maximum_bytes)
        : exchange_{exchange}, maximum_bytes_{maximum_bytes}
    {}

    /// Reads ahead up to `fingerprinted_body_bytes`. Fails with `http_event::body_too_large` or `body_cut`.
    kernel::result<void> read_ahead();

    /// The bytes read ahead.
    [[nodiscard]] const std::string& beginning() const { return beginning_; }

    /// Whether the bytes read ahead are the whole body.
    [[nodiscard]] bool complete() const { return ended_; }

    /// The framing towards the upstream; a chunked body that was read ahead as a whole gets a length.
    [[nodiscard]] http::body_size size() const;

    /// The next bytes after `beginning`; empty at the end. May be called for one upstream only. Fails as `read_ahead`.
    kernel::result<std::string> next();

private:
    kernel::result<std::string> read_masked();

    http::server_exchange& exchange_;
    std::uint64_t maximum_bytes_;
    std::uint64_t bytes_read_ = 0;
    key_mask mask_;
    std::string beginning_;
    bool ended_ = false;
};

} // namespace wisterialane::gateway
