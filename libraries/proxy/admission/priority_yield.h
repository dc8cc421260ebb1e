#pragma once

#include "kernel/clock.h"
#include "libraries/proxy/admission/request_priority.h"

#include <cstdint>
#include <map>

namespace wisterialane::proxy {

/// Requests of one priority of a service in the last three seconds.
struct level_counts {
    std::uint64_t requests = 0;
    std::uint64_t unserved = 0;

    friend bool operator==(const level_counts&, const level_counts&) = default;
};

/// The most urgent first.
using priority_levels = std::map<request_priority, level_counts>;

/// Decides how far the less urgent requests of a service give way on all hosts, to the most urgent ones that go
/// unserved.
///
/// Written for hosts that refuse urgent requests while others, with few urgent ones, use their part of the service for
/// less urgent ones. Each host's part of the service follows its demand, in which a less urgent request counts with a
/// weight. The weight falls by a factor while urgent requests go unserved at any host, to a quarter at least, and rises
/// linearly afterwards. All hosts compute it from the same reports.
class priority_yield {
public:
    /// Takes the counts of all hosts together. Called several times a second.
    void update(const priority_levels& levels, kernel::time_point now);

    /// Weight, 0.25 to 1, of a request that is less urgent than those to which others give way.
    [[nodiscard]] double less_urgent_weight() const { return weight_; }

    /// Weighted fraction of the requests, 0.25 to 1.
    [[nodiscard]] double weighted_fraction(const priority_levels& levels) const;

private:
    double weight_ = 1;
    /// The priority to which less urgent ones give way.
    request_priority preferred_;
    kernel::time_point updated_at_{};
};

/// Whether requests of this priority are served so much less often than all, that they are near the least part that
/// each priority keeps.
[[nodiscard]] bool is_starved(const priority_levels& levels, request_priority priority);

} // namespace wisterialane::proxy
