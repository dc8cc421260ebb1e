#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/placement/recent_positions.h"
#include "libraries/proxy/traffic_configuration.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace wisterialane::proxy {

/// The platform's bound of the requests that a cold upstream may get from all hosts in any one second: `over` times the
/// rate of its service, and `slack`.
struct cold_bounds {
    double over = 1;
    double slack = 0;

    friend bool operator==(const cold_bounds&, const cold_bounds&) = default;
};

/// This host's share of the requests that cold upstreams take. Written for 190 hosts, of which some tens are active,
/// with 350 upstreams of which all of a data centre may be cold at once.
///
/// The rate of a cold upstream is divided as that of an upstream in need (`share_interval`). Without the platform's
/// bounds, or for a service without a rate, nothing is limited.
class cold_start_limit {
public:
    void set_bounds(std::optional<cold_bounds> bounds) { bounds_ = bounds; }

    /// Sets the services of the configuration in force.
    void set_services(const std::vector<traffic_service>& services);

    /// Records this host's place among the active hosts; empty while it is on standby.
    void record_position(std::optional<active_position> position, kernel::time_point now)
    {
        positions_.record(position, now);
    }

    /// Whether cold upstreams of the service are limited.
    [[nodiscard]] bool applies_to(const kernel::service_name& service) const;

    /// Time for which an upstream of the service is cold after its start; zero if cold upstreams are not limited.
    [[nodiscard]] kernel::duration cold_start(const kernel::service_name& service) const;

    /// Rate of a cold upstream of the service; zero if cold upstreams are not limited.
    [[nodiscard]] double per_second(const kernel::service_name& service) const
    {
        return applies_to(service) ? services_.at(service).per_second : 0;
    }

    /// Time until this host may send a request to a cold upstream to which it sent its last one at `last_request_at`;
    /// zero if it may now. Empty if it has no share of that upstream.
    [[nodiscard]] std::optional<kernel::duration> time_until_request(const kernel::service_name& service,
                                                                     const kernel::upstream_name& upstream,
                                                                     kernel::time_point last_request_at,
                                                                     kernel::time_point now) const;

private:
    struct cold_service {
        kernel::duration cold_start{};
        double per_second = 0;
    };

    std::optional<cold_bounds> bounds_;
    std::unordered_map<kernel::service_name, cold_service> services_;
    recent_positions positions_;
};

} // namespace wisterialane::proxy
