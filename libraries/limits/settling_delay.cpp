#include "libraries/limits/settling_delay.h"

#include "libraries/limits/loan.h"

namespace wisterialane::limits {

kernel::version_number settling_delay::update(kernel::version_number settled, kernel::time_point now)
{
    const auto newest = waiting_.empty() ? delayed_ : waiting_.back().version;
    if (settled.value() > newest.value()) {
        waiting_.push_back({settled, now});
    }
    while (!waiting_.empty() && waiting_.front().since + lender_duration <= now) {
        delayed_ = waiting_.front().version;
        waiting_.pop_front();
    }
    return delayed_;
}

} // namespace wisterialane::limits
