#include "libraries/proxy/membership/evidence_outbox.h"

#include <algorithm>

namespace wisterialane::proxy {

void evidence_outbox::add(const std::vector<shared_evidence>& evidence, kernel::time_point now,
                          kernel::duration interval)
{
    const bool is_first = waiting_.empty();
    waiting_.insert(waiting_.end(), evidence.begin(), evidence.end());
    const bool has_notice =
        std::any_of(evidence.begin(), evidence.end(), [](const auto& each) { return each.notice.has_value(); });
    const auto since_last = now - sent_at_;
    if (has_notice || waiting_.size() >= maximum_batch || since_last >= interval) {
        flush(now);
    }
    else if (is_first && !waiting_.empty()) {
        flush_later_(interval - since_last);
    }
}

void evidence_outbox::flush(kernel::time_point now)
{
    if (!waiting_.empty()) {
        sent_at_ = now;
        send_(std::exchange(waiting_, {}));
    }
}

} // namespace wisterialane::proxy
