#include "libraries/gateway/retry_budget.h"

#include <algorithm>

namespace wisterialane::gateway {

void retry_budget::record_request()
{
    saved_ = std::min(maximum_saved, saved_ + share_of_requests);
}

bool retry_budget::try_retry()
{
    if (saved_ < 1) {
        return false;
    }
    saved_ -= 1;
    return true;
}

} // namespace wisterialane::gateway
