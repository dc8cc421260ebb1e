#include "libraries/proxy/attempt_plan.h"

namespace wisterialane::proxy {
namespace {

/// A failed connection runs nothing, so it is repeated; after this many the service counts as unreachable.
constexpr unsigned maximum_connect_failures = 4;

} // namespace

void attempt_plan::record_start()
{
    ++attempts_;
    ++open_attempts_;
}

void attempt_plan::record_end(exchange_end end, bool not_executed)
{
    --open_attempts_;
    if (end == exchange_end::withdrawn) {
        return;
    }
    if (end == exchange_end::not_connected) {
        ++connect_failures_;
        return;
    }
    ++delivered_attempts_;
    may_have_run_ = may_have_run_ || !not_executed;
}

void attempt_plan::record_cancel(bool sent)
{
    --open_attempts_;
    if (sent) {
        ++delivered_attempts_;
        may_have_run_ = true;
    }
}

bool attempt_plan::may_retry() const
{
    if (open_attempts_ > 0 || connect_failures_ >= maximum_connect_failures) {
        return false;
    }
    return delivered_attempts_ < maximum_upstreams_ && (repeatable_ || !may_have_run_);
}

bool attempt_plan::may_hedge() const
{
    return repeatable_ && open_attempts_ == 1 && delivered_attempts_ + open_attempts_ < maximum_upstreams_;
}

} // namespace wisterialane::proxy
