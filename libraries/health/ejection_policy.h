#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/health/health_events.h"
#include "libraries/health/service_definition.h"
#include "libraries/health/upstream_evidence.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wisterialane::health {

enum class upstream_condition {
    healthy,
    /// Judged grey on shared evidence; receives nothing until its time is over.
    ejected,
    /// Receives a growing share of requests after an ejection or avoidance.
    returning,
    /// This host could not connect to it; receives nothing from this host for a short time.
    avoided,
};

/// State of one upstream, for the status page.
struct upstream_status {
    kernel::upstream_name name;
    unsigned slots = 0;
    upstream_condition condition = upstream_condition::healthy;
    upstream_intake intake = upstream_intake::open;
    kernel::time_point since;
    /// End of the ejection, avoidance or return step.
    kernel::time_point until;
    /// Share of the ordinary load, from 0 to 1.
    double weight = 1;
    /// Logarithm of the likelihood ratio "grey" to "ordinary"; 0 is no suspicion.
    double suspicion = 0;
    /// Good and bad outcomes and the number of hosts behind the current suspicion or the last ejection.
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    std::size_t reporters = 0;
    unsigned ejections = 0;
};

/// A change of an upstream's condition, for the event log.
struct upstream_transition {
    health_event event = health_event::upstream_restored;
    kernel::upstream_name upstream;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    std::size_t reporters = 0;
    kernel::duration lasts{};
};

/// Decides which upstreams of one service this host does not use.
///
/// For each upstream, a sequential probability-ratio test (Wald 1945), restarted at zero as in the CUSUM procedure
/// (Page 1954), compares two hypotheses on the share of bad outcomes: the share of the other upstreams, and that share
/// raised by a fixed amount. The share of the others is taken in the same moment, so that what happens to all
/// upstreams at once indicts none.
///
/// At any time, either the slots of upstreams that are neither ejected, avoided nor leaving are at least the floor, or
/// no upstream is ejected or avoided.
class ejection_policy {
public:
    /// Outcomes are judged in batches, because outcomes on other upstreams in the same batch show common trouble.
    static constexpr kernel::duration batch_time = std::chrono::milliseconds{100};
    static constexpr kernel::duration first_ejection = std::chrono::seconds{5};
    static constexpr kernel::duration longest_ejection = std::chrono::minutes{5};
    static constexpr kernel::duration first_avoidance = std::chrono::seconds{1};
    static constexpr kernel::duration longest_avoidance = std::chrono::seconds{30};
    static constexpr unsigned return_steps = 4;
    static constexpr kernel::duration return_step_time = std::chrono::seconds{1};

    /// Replaces the upstreams and the floor; the state of upstreams that remain is kept.
    std::vector<upstream_transition> configure(const service_definition& definition, kernel::time_point now);

    std::vector<upstream_transition> set_intake(const kernel::upstream_name& name, upstream_intake intake,
                                                kernel::time_point now);

    /// Adds outcomes to the current batch.
    void add(const evidence_delta& delta);

    /// Judges the batch if it is due, and ends ejections, avoidances and return steps whose time is over.
    std::vector<upstream_transition> advance(kernel::time_point now);

    /// This host could not connect to the upstream.
    std::vector<upstream_transition> connect_failed(const kernel::upstream_name& name, kernel::time_point now);

    /// The upstream answered this host.
    void answered(const kernel::upstream_name& name);

    /// Forgets the evidence against an upstream, because a request turned out to be at fault.
    void forgive(const kernel::upstream_name& name);

    /// Whether new requests may go there.
    [[nodiscard]] bool usable(const kernel::upstream_name& name) const;

    /// Share of the ordinary load that an upstream gets, from 0 to 1.
    [[nodiscard]] double weight(const kernel::upstream_name& name) const;

    /// Whether the upstream may be cold: it was added, or it returns from an absence, a short time ago.
    [[nodiscard]] bool may_be_cold(const kernel::upstream_name& name, kernel::time_point now) const;

    /// Upstreams for which evidence must start anew; the caller drops older evidence about them. Cleared by the call.
    [[nodiscard]] std::vector<kernel::upstream_name> take_restarted();

    /// Upstreams with current suspicion, the most suspect first.
    [[nodiscard]] std::vector<kernel::upstream_name> suspects(std::size_t maximum) const;

    /// Whether an upstream that is in use has become suspect within the given time.
    [[nodiscard]] bool has_recent_suspect(kernel::time_point now, kernel::duration within) const;

    [[nodiscard]] std::vector<upstream_status> status() const;

    [[nodiscard]] unsigned configured_slots() const;
    /// Slots of the upstreams that may receive requests.
    [[nodiscard]] unsigned usable_slots() const;
    [[nodiscard]] unsigned required_slots() const;

private:
    /// Outcomes with an exponentially fading weight.
    struct fading_counts {
        double good = 0;
        double bad = 0;

        void fade(double factor);
    };

    /// Outcomes of one delta; `relevance` is the share of their time that a new fault can have lasted.
    struct batch_part {
        kernel::instance_id reporter;
        double total = 0;
        double bad = 0;
        double relevance = 1;
    };

    struct upstream_state {
        unsigned slots = 1;
        upstream_intake intake = upstream_intake::open;
        upstream_condition condition = upstream_condition::healthy;
        kernel::time_point added;
        kernel::time_point since;
        kernel::time_point until;
        unsigned step = 0;
        unsigned ejections = 0;
        unsigned failed_connects = 0;
        kernel::duration last_ejection{};
        bool withheld = false;

        std::vector<batch_part> batch;
        fading_counts batch_total;
        fading_counts recent;
        fading_counts ordinary;
        double suspicion = 0;
        /// When the suspicion last rose from zero.
        kernel::time_point suspected_since;
        /// What each reporter added to the suspicion since it was last zero.
        std::unordered_map<kernel::instance_id, double> contributions;
        std::uint64_t good = 0;
        std::uint64_t bad = 0;
        std::unordered_map<kernel::instance_id, kernel::time_point> reporters_heard;
    };

    using counts_member = fading_counts upstream_state::*;

    [[nodiscard]] bool is_usable(const upstream_state& state) const;
    [[nodiscard]] double bad_share_of_others(const kernel::upstream_name& name, counts_member counts,
                                             double prior_weight) const;
    [[nodiscard]] double ordinary_share(const kernel::upstream_name& name) const;
    [[nodiscard]] bool indicted(const upstream_state& state, kernel::time_point now) const;
    void judge_batch(kernel::time_point now, std::vector<upstream_transition>& transitions);
    void update_suspicion(const kernel::upstream_name& name, upstream_state& state, kernel::time_point now);
    void finish_batch(kernel::time_point now);
    void eject(const kernel::upstream_name& name, upstream_state& state, kernel::time_point now,
               std::vector<upstream_transition>& transitions);
    void begin_return(const kernel::upstream_name& name, upstream_state& state, kernel::time_point now,
                      std::vector<upstream_transition>& transitions);
    void step_return(const kernel::upstream_name& name, upstream_state& state, kernel::time_point now,
                     std::vector<upstream_transition>& transitions);
    void restart_evidence(const kernel::upstream_name& name, upstream_state& state);
    void reinstate_for_floor(kernel::time_point now, std::vector<upstream_transition>& transitions);

    unsigned floor_percent_ = 50;
    std::unordered_map<kernel::upstream_name, upstream_state> upstreams_;
    std::unordered_set<kernel::upstream_name> restarted_;
    kernel::time_point batch_started_;
    bool batch_open_ = false;
};

} // namespace wisterialane::health
