#pragma once

#include "libraries/proxy/upstream_exchange.h"
#include "libraries/proxy/upstream_health.h"

namespace wisterialane::proxy {

/// Tracks the attempts of one request and decides whether it may be sent again. The caller then checks the retry
/// budget, which all requests share.
class attempt_plan {
public:
    /// At most `maximum_upstreams` upstreams may receive the request; a `repeatable` request may run more than once.
    attempt_plan(unsigned maximum_upstreams, bool repeatable)
        : maximum_upstreams_{maximum_upstreams}, repeatable_{repeatable}
    {}

    void record_start();

    /// Records the end of an attempt. `not_executed` means that its upstream was sent the request, has not run it and
    /// never will. An end before anything was sent needs no such statement.
    void record_end(exchange_end end, bool not_executed);

    /// Records that this host cancelled an attempt. `sent` means that bytes of it may have reached the upstream.
    void record_cancel(bool sent);

    /// Whether the request may be sent again. False while an attempt is open.
    [[nodiscard]] bool may_retry() const;

    /// Whether a second attempt may start in parallel with the open one.
    [[nodiscard]] bool may_hedge() const;

    /// Whether the next attempt counts against the retry budget. It does as soon as one attempt has reached an
    /// upstream; failed connections reach none.
    [[nodiscard]] bool retry_uses_budget() const { return delivered_attempts_ > 0; }

    /// Whether an upstream may have run the request or may still run it.
    [[nodiscard]] bool may_have_run() const { return may_have_run_; }

    [[nodiscard]] unsigned attempts() const { return attempts_; }

private:
    unsigned maximum_upstreams_;
    bool repeatable_;
    unsigned attempts_ = 0;
    unsigned open_attempts_ = 0;
    unsigned delivered_attempts_ = 0;
    unsigned connect_failures_ = 0;
    bool may_have_run_ = false;
};

} // namespace wisterialane::proxy
