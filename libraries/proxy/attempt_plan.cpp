#include "libraries/proxy/attempt_plan.h"

namespace wisterialane::proxy {
namespace {

/// Failed connections run nothing; after this many the service is taken to be out of reach.
constexpr unsigned maximum_connect_failures = 4;

} // namespace

void attempt_plan::record_start()
{
    ++attempts_;
    ++open_;
}

void attempt_plan::record_end(exchange_end end, bool ran_not)
{
    --open_;
    if (end == exchange_end::not_connected) {
        ++connect_failures_;
        return;
    }
    ++arrivals_;
    may_have_run_ = may_have_run_ || !ran_not;
}

void attempt_plan::record_cancel(bool sent)
{
    --open_;
    if (sent) {
        ++arrivals_;
        may_have_run_ = true;
    }
}

bool attempt_plan::may_retry() const
{
    if (open_ > 0 || connect_failures_ >= maximum_connect_failures) {
        return false;
    }
    return arrivals_ < upstreams_ && (repeatable_ || !may_have_run_);
}

bool attempt_plan::may_hedge() const
{
    return repeatable_ && open_ == 1 && arrivals_ + open_ < upstreams_;
}

} // namespace wisterialane::proxy
