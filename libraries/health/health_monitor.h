#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/health/balancer.h"
#include "libraries/health/ejection_policy.h"
#include "libraries/health/evidence_report.h"
#include "libraries/health/latency_baseline.h"
#include "libraries/health/outcome.h"
#include "libraries/health/quarantine.h"
#include "libraries/health/service_definition.h"
#include "libraries/health/upstream_evidence.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wisterialane::health {

/// State of one service, for the status page.
struct service_status {
    kernel::service_name service;
    unsigned configured_slots = 0;
    unsigned usable_slots = 0;
    unsigned required_slots = 0;
    std::vector<upstream_status> upstreams;
};

/// The health logic of one host: connects the choices and outcomes of its requests with the evidence, the ejection
/// policy and the balancer of each service.
class health_monitor {
public:
    /// A request without an answer after the slow limit is counted then, not when it ends: at a slow upstream the
    /// answers come late by definition. The caller calls `advance` at this interval.
    static constexpr kernel::duration advance_interval = std::chrono::milliseconds{50};

    static constexpr kernel::duration urgent_pull_interval = std::chrono::milliseconds{50};

    health_monitor(kernel::instance_id own, random_source random)
        : random_{std::move(random)}, evidence_{std::move(own)}
    {}

    void configure(const std::vector<service_definition>& services, kernel::time_point now);

    /// Chooses an upstream and counts the request in flight there until `finish`. Fails with `service_unknown`,
    /// `no_usable_upstream` or `upstreams_busy`.
    kernel::result<chosen_upstream> choose(const kernel::service_name& service, const kernel::route_name& route,
                                           const std::unordered_set<kernel::upstream_name>& excluded,
                                           kernel::time_point now);

    /// The whole request has been sent; from now on the upstream is expected to answer.
    void request_sent(choice_handle handle, kernel::time_point now);

    /// The head of the answer has arrived; the rest depends on the caller's speed, too.
    void answer_started(choice_handle handle);

    /// Ends a choice. Unknown handles are ignored.
    void finish(choice_handle handle, const outcome& result, kernel::time_point now);

    /// The upstream said in an answer that it is draining.
    void mark_leaving(const kernel::upstream_name& upstream, kernel::time_point now);

    /// Replaces the upstreams that the host list shows as leaving.
    void set_leaving(const std::unordered_set<kernel::upstream_name>& upstreams, kernel::time_point now);

    /// This host's own counters and the crashes that it knows of.
    evidence_report make_report(kernel::time_point now);

    /// `make_report`, followed by copies of the other hosts' counters about suspect upstreams. With the copies,
    /// evidence about a grey upstream spreads in a number of pulls that grows with the logarithm of the number of
    /// hosts.
    std::vector<evidence_report> make_reports(kernel::time_point now);

    /// Whether some upstream is suspect but not judged yet. The pulls between hosts are then worth a shorter interval,
    /// `urgent_pull_interval`: the time to gather evidence is most of the detection time.
    [[nodiscard]] bool needs_evidence(kernel::time_point now) const;

    void merge_report(const evidence_report& report, kernel::time_point now);

    [[nodiscard]] bool is_quarantined(std::uint64_t fingerprint, kernel::time_point now) const;

    /// Counts overdue requests and judges the evidence.
    void advance(kernel::time_point now);

    /// Changes of conditions since the last call.
    std::vector<upstream_transition> take_transitions();

    [[nodiscard]] std::vector<service_status> status() const;

private:
    /// An upstream that said that it drains is not tried again before this, because one that restarts in its place does
    /// not announce itself.
    static constexpr kernel::duration draining_time = std::chrono::minutes{10};
    /// A crash counts against the upstream only after this, so that a second crash of the same request comes first.
    static constexpr kernel::duration crash_delay = std::chrono::seconds{1};
    static constexpr std::size_t suspects_relayed_per_service = 4;
    /// With 35 upstreams and four pulls a second these are about 9 KB/s.
    static constexpr std::size_t hosts_relayed = 8;

    enum class phase { sending, waiting, counted, answering };

    struct choice {
        kernel::service_name service;
        kernel::route_name route;
        kernel::upstream_name upstream;
        phase progress = phase::sending;
        kernel::time_point sent;
    };

    struct service_state {
        service_definition definition;
        ejection_policy policy;
        balancer choices;
        latency_baseline baseline;
    };

    /// Crashes of one upstream that are close in time are one event: all its requests in flight end together.
    struct pending_crash {
        std::set<std::uint64_t> fingerprints;
        kernel::time_point due;
    };

    /// An upstream that stays suspect for longer than this gets no more urgent pulls.
    static constexpr kernel::duration urgent_time = std::chrono::seconds{3};

    [[nodiscard]] service_state* service_of(const kernel::upstream_name& upstream);
    [[nodiscard]] upstream_intake intake_of(const upstream_definition& upstream, kernel::time_point now) const;
    void apply_intakes(kernel::time_point now);
    void finish_good(service_state& service, const choice& item, const outcome& result, kernel::time_point now);
    void finish_bad(service_state& service, const choice& item, kernel::time_point now);
    void finish_crashed(const choice& item, const outcome& result, kernel::time_point now);
    void record_crash(const crash_sighting& sighting, kernel::time_point now);
    void count_due_crashes(kernel::time_point now);
    void count_overdue(kernel::time_point now);
    void note(std::vector<upstream_transition> transitions);
    void apply_restarts(service_state& service);

    random_source random_;
    upstream_evidence evidence_;
    quarantine quarantine_;
    std::unordered_map<kernel::service_name, service_state> services_;
    std::unordered_map<kernel::upstream_name, kernel::service_name> service_names_;
    std::unordered_map<choice_handle, choice> choices_;
    std::uint64_t last_handle_ = 0;
    std::unordered_map<kernel::upstream_name, pending_crash> pending_crashes_;
    std::unordered_map<kernel::upstream_name, kernel::time_point> draining_until_;
    std::unordered_set<kernel::upstream_name> leaving_;
    std::vector<upstream_transition> transitions_;
};

} // namespace wisterialane::health
