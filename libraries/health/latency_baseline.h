#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"

#include <array>
#include <cstddef>
#include <optional>
#include <unordered_map>

namespace wisterialane::health {

/// The ordinary latency of each route of one service on this host: the median over upstreams of each upstream's median
/// of recent answers. One slow upstream moves one of the medians only, and a route or a minute that is slow on all
/// upstreams moves the baseline itself, so neither makes an answer slow.
class latency_baseline {
public:
    /// An answer is slow from this multiple of the route's baseline.
    static constexpr int slow_factor = 4;
    /// A smaller excess over the baseline can come from scheduling on this host.
    static constexpr kernel::duration minimum_excess = std::chrono::milliseconds{5};

    void add(const kernel::route_name& route, const kernel::upstream_name& upstream, kernel::duration latency,
             kernel::time_point now);

    /// Latency above which an answer on the route is slow; empty while fewer than two upstreams have answered recently
    /// or too few answers are known.
    [[nodiscard]] std::optional<kernel::duration> slow_limit(const kernel::route_name& route,
                                                             kernel::time_point now) const;

    void remove(const kernel::upstream_name& upstream);

private:
    static constexpr std::size_t samples_per_upstream = 5;
    static constexpr std::size_t minimum_samples = 6;
    static constexpr kernel::duration maximum_age = std::chrono::seconds{30};

    struct upstream_samples {
        std::array<kernel::duration, samples_per_upstream> latencies{};
        std::size_t count = 0;
        std::size_t next = 0;
        kernel::time_point newest;

        [[nodiscard]] kernel::duration median() const;
    };

    struct route_state {
        std::unordered_map<kernel::upstream_name, upstream_samples> samples;
        std::optional<kernel::duration> limit;
        kernel::time_point valid_until;
    };

    static void refresh(route_state& route, kernel::time_point now);

    std::unordered_map<kernel::route_name, route_state> routes_;
};

} // namespace wisterialane::health
