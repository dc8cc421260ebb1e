#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/health/evidence_report.h"

#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace wisterialane::health {

/// Outcomes that one host has counted on one upstream since the last time they were taken.
struct evidence_delta {
    kernel::instance_id reporter;
    kernel::upstream_name upstream;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    /// Time over which the outcomes may have happened.
    kernel::duration span{};
};

/// This host's own rising counters and copies of those of other hosts. Merging takes the larger value of each counter,
/// so it commutes and is idempotent: lost, repeated and reordered reports do no harm.
class upstream_evidence {
public:
    explicit upstream_evidence(kernel::instance_id own) : own_{std::move(own)} {}

    /// Drops the counters of other upstreams and ignores reports about them, which bounds the memory.
    void set_upstreams(const std::unordered_set<kernel::upstream_name>& names);

    void count_good(const kernel::upstream_name& upstream);
    void count_bad(const kernel::upstream_name& upstream);

    /// This host's own counters.
    [[nodiscard]] evidence_report make_report();

    /// Copies of other hosts' counters, one report per host: all counters of the `whole` hosts that were heard of last,
    /// and those about the given upstreams of every host.
    [[nodiscard]] std::vector<evidence_report> relay(const std::unordered_set<kernel::upstream_name>& upstreams,
                                                     std::size_t whole) const;

    /// The first report of a host about an upstream, and one after a silence of more than `maximum_span`, only set the
    /// values from which later deltas are taken, because the outcomes in it may be old.
    void merge(const evidence_report& report, kernel::time_point now);

    /// The outcomes counted since the last call, by reporter. A first report yields a delta without outcomes, which
    /// shows that the reporter serves the upstream.
    [[nodiscard]] std::vector<evidence_delta> take_deltas();

    /// Ignores what other hosts counted before their next report about the upstream, and deltas not yet taken.
    void require_fresh(const kernel::upstream_name& upstream);

    [[nodiscard]] upstream_counters counters_of(const kernel::instance_id& reporter,
                                                const kernel::upstream_name& upstream) const;

private:
    static constexpr kernel::duration maximum_span = std::chrono::seconds{30};
    /// Bounds the memory against reports with invented instance ids.
    static constexpr std::size_t maximum_reporters = 4096;

    enum class basis { missing, known };

    struct reporter_counters {
        std::uint64_t good = 0;
        std::uint64_t bad = 0;
        std::uint64_t taken_good = 0;
        std::uint64_t taken_bad = 0;
        basis start = basis::missing;
        /// Listed in `changed_`.
        bool is_changed = false;
        kernel::time_point heard;
        kernel::duration span{};
    };

    struct reporter_state {
        std::uint64_t sequence = 0;
        kernel::time_point heard;
        std::unordered_map<kernel::upstream_name, reporter_counters> upstreams;
    };

    void count(const kernel::upstream_name& upstream, std::uint64_t reporter_counters::*counter);
    void merge_counters(const kernel::instance_id& reporter, reporter_counters& copy, const upstream_counters& report,
                        kernel::time_point now);
    void mark_changed(const kernel::instance_id& reporter, const kernel::upstream_name& upstream,
                      reporter_counters& copy);
    void remove_silent_reporters(kernel::time_point now);

    kernel::instance_id own_;
    std::uint64_t sequence_ = 0;
    std::unordered_set<kernel::upstream_name> known_;
    std::unordered_map<kernel::instance_id, reporter_state> reporters_;
    /// Counters with outcomes that were not taken yet, or that were heard for the first time.
    std::vector<std::pair<kernel::instance_id, kernel::upstream_name>> changed_;
};

} // namespace wisterialane::health
