#pragma once

#include "libraries/proxy/upstream_exchange.h"
#include "libraries/proxy/upstream_health.h"

namespace wisterialane::proxy {

/// Counts what one request has been through and decides whether it may be sent once more. The retry budget, which all
/// requests share, is asked by the caller afterwards.
class attempt_plan {
public:
    /// `upstreams` may receive the request at most; `repeatable` requests may run more than once.
    attempt_plan(unsigned upstreams, bool repeatable) : upstreams_{upstreams}, repeatable_{repeatable} {}

    void record_start();

    /// An attempt ended. `ran_not` says that its upstream certainly has not run and will not run the request.
    void record_end(exchange_end end, bool ran_not);

    /// An attempt was given up; `sent` says whether bytes of it may have reached the upstream.
    void record_cancel(bool sent);

    /// Whether the request may be sent again, now that no attempt is open.
    [[nodiscard]] bool may_retry() const;

    /// Whether a second attempt may start beside the open one.
    [[nodiscard]] bool may_hedge() const;

    /// Whether the last end leaves a further send within the budget of arrivals: a failed connection arrives nowhere.
    [[nodiscard]] bool retry_uses_budget() const { return arrivals_ > 0; }

    /// Whether an upstream may have run the request, or still may.
    [[nodiscard]] bool may_have_run() const { return may_have_run_; }

    [[nodiscard]] unsigned attempts() const { return attempts_; }

private:
    unsigned upstreams_;
    bool repeatable_;
    unsigned attempts_ = 0;
    unsigned open_ = 0;
    unsigned arrivals_ = 0;
    unsigned connect_failures_ = 0;
    bool may_have_run_ = false;
};

} // namespace wisterialane::proxy
