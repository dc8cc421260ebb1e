#include "libraries/proxy/membership/active_selection.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace wisterialane::proxy {
namespace {

using candidates = std::vector<active_candidate>;

/// Fraction of its processor time that an active host should use. The rest absorbs bursts and the load of an active
/// host that fails.
constexpr double target_utilization = 0.3;
/// Fraction that the stronger hosts may use before much weaker ones are named as well.
constexpr double strained_utilization = 0.45;
/// A host with less than this part of the processor time of another one is much weaker.
constexpr double much_weaker_fraction = 0.5;
/// Processor time for work that does not depend on the host's own requests. In a data centre of 62 hosts, decoding
/// about 80 states per second takes 0.004 cores; as much again is estimated for the system calls, the store and the
/// tick.
constexpr double fixed_work_cores = 0.01;
/// As the fixed work is estimated, the smallest hosts keep this part of their processor time for requests.
constexpr double minimum_request_fraction = 0.5;
/// A host that counts with no more than this is very late.
constexpr double very_late_fraction = 0.25;
/// Part of the hosts, one at least, that may be replaced because they are very late.
constexpr std::size_t replaceable_part = 4;

bool is_very_late(const active_candidate& host)
{
    return host.usable_fraction <= very_late_fraction;
}

double ratio(double demand, double cores)
{
    return cores > 0 ? demand / cores : std::numeric_limits<double>::infinity();
}

/// The first hosts of a list, which get equal parts of a demand.
class named_hosts {
public:
    void add(const active_candidate& host)
    {
        const double usable = host.cores * host.usable_fraction;
        ++count_;
        usable_cores_ += usable;
        least_cores_ = std::min(least_cores_, is_very_late(host) ? usable : host.cores);
    }

    /// The greatest utilization of a host. Hosts that are only a little late count together: others make up for them.
    [[nodiscard]] double utilization(double demand) const
    {
        return ratio(demand, std::min(usable_cores_, count_ * least_cores_));
    }

private:
    double count_ = 0;
    double usable_cores_ = 0;
    double least_cores_ = std::numeric_limits<double>::infinity();
};

struct host_count {
    std::size_t hosts = 0;
    double utilization = std::numeric_limits<double>::infinity();
};

bool is_much_weaker(const active_candidate& host, const active_candidate& than)
{
    return host.cores < much_weaker_fraction * than.cores;
}

double permitted_utilization(const candidates& ranked, std::size_t count)
{
    const bool weaker_hosts_follow = count < ranked.size() && is_much_weaker(ranked[count], ranked[count - 1]);
    return weaker_hosts_follow ? strained_utilization : target_utilization;
}

host_count count_needed(const candidates& ranked, double demand, std::size_t minimum)
{
    named_hosts named;
    host_count best;
    for (std::size_t count = 1; count <= ranked.size(); ++count) {
        named.add(ranked[count - 1]);
        const double utilization = named.utilization(demand);
        // The first number is taken in any case: there is no better one if no host has processor time.
        if (count >= minimum && (best.hosts == 0 || utilization < best.utilization)) {
            best = {count, utilization};
        }
        if (count >= minimum && utilization <= permitted_utilization(ranked, count)) {
            return {count, utilization};
        }
    }
    return best.hosts > 0 ? best : host_count{ranked.size(), named.utilization(demand)};
}

std::size_t count_needed_without_delays(candidates ranked, double demand, std::size_t minimum)
{
    for (auto& host : ranked) {
        host.usable_fraction = 1;
    }
    return count_needed(ranked, demand, minimum).hosts;
}

// Returns the positions of all hosts but a few very late ones of those that are named without them.
std::vector<std::size_t> without_very_late_hosts(const candidates& ranked, std::size_t usual_count)
{
    auto replaceable = std::max<std::size_t>(1, usual_count / replaceable_part);
    const auto end = usual_count + replaceable;
    std::vector<std::size_t> positions;
    for (std::size_t position = 0; position < ranked.size(); ++position) {
        if (position < end && replaceable > 0 && is_very_late(ranked[position])) {
            --replaceable;
            continue;
        }
        positions.push_back(position);
    }
    return positions;
}

candidates at_positions(const candidates& ranked, const std::vector<std::size_t>& positions)
{
    candidates hosts;
    hosts.reserve(positions.size());
    for (const auto position : positions) {
        hosts.push_back(ranked[position]);
    }
    return hosts;
}

} // namespace

double request_cores(double processor_cores)
{
    return std::max(processor_cores - fixed_work_cores, minimum_request_fraction * processor_cores);
}

std::vector<std::size_t> select_active_hosts(const std::vector<active_candidate>& ranked, double demand,
                                             std::size_t minimum)
{
    const auto all = count_needed(ranked, demand, minimum);
    std::vector<std::size_t> positions(ranked.size());
    std::iota(positions.begin(), positions.end(), std::size_t{0});
    if (std::any_of(ranked.begin(), ranked.end(), is_very_late)) {
        auto others = without_very_late_hosts(ranked, count_needed_without_delays(ranked, demand, minimum));
        const auto needed = count_needed(at_positions(ranked, others), demand, minimum);
        if (needed.hosts >= std::max<std::size_t>(1, minimum) && needed.utilization <= strained_utilization) {
            others.resize(needed.hosts);
            return others;
        }
    }
    positions.resize(all.hosts);
    return positions;
}

} // namespace wisterialane::proxy
