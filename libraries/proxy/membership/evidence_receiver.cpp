#include "libraries/proxy/membership/evidence_receiver.h"

#include "libraries/proxy/proxy_events.h"

#include <string>

namespace wisterialane::proxy {

using kernel::line_priority;

void evidence_receiver::apply(const kernel::host_name& from, const std::vector<shared_evidence>& evidence,
                              bool serves_callers, kernel::time_point now)
{
    for (const auto& each : evidence) {
        record_outcome(from, each, serves_callers, now);
        if (each.notice) {
            environment_.upstreams.record_reported_notice(each.upstream, *each.notice, now);
        }
        if (each.fingerprint != 0) {
            environment_.quarantine.record({each.fingerprint, each.upstream}, now);
        }
    }
}

void evidence_receiver::record_outcome(const kernel::host_name& from, const shared_evidence& evidence,
                                       bool serves_callers, kernel::time_point now)
{
    auto* known = environment_.upstreams.find(evidence.upstream);
    if (known == nullptr) {
        return;
    }
    const bool was_trusted = known->health.state(now) == trust::trusted;
    known->health.record_report(from, evidence.outcome, now);
    environment_.upstreams.record_reported_outcome(
        evidence.upstream, evidence.outcome, environment_.balancer.cold_limit().cold_start(known->record.service), now);
    const bool is_trusted = known->health.state(now) == trust::trusted;
    if (was_trusted == is_trusted) {
        return;
    }
    const auto subject = serves_callers ? evidence.upstream : kernel::upstream_name{};
    const auto reports = (is_trusted ? trusted_ : suspected_).count(subject, now);
    if (reports) {
        environment_.log.write(now, serves_callers ? line_priority::important : line_priority::routine,
                               is_trusted ? proxy_event::upstream_trusted : proxy_event::upstream_suspected,
                               {{"upstream", evidence.upstream.value()},
                                {"service", known->record.service.value()},
                                {"outcome", std::string{to_name(evidence.outcome)}},
                                {"from", from.value()},
                                {"reports", std::to_string(*reports)}});
    }
}

} // namespace wisterialane::proxy
