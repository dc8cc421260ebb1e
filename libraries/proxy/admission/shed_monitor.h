#pragma once

#include "kernel/clock.h"
#include "libraries/proxy/window_counter.h"

#include <cstddef>
#include <cstdint>

namespace wisterialane::proxy {

/// A refusal of an upstream that states that the request was not run.
struct observed_shed {
    /// Requests of this host in flight at the upstream when this one was sent, without it.
    std::size_t in_flight = 0;
    unsigned slots = 1;
};

/// What the upstreams of one service accept of this host's requests, and whether their refusals come with load.
///
/// Written for two loads: upstreams that refuse 55 % of all requests for 8.5 s, however full they are, and upstreams
/// that refuse because others fill their slots and queues. Only in the second does it help to send less. The two differ
/// in the latency of the requests that are accepted: behind a full queue it is a multiple of the usual one.
///
/// The limit on the requests in flight is then multiplied by `limit_factor`, which falls by a factor with sheds that
/// come with load and rises linearly afterwards.
class shed_monitor {
public:
    /// Records a good response and the time from the sending of its request.
    void record_accepted(kernel::duration latency, kernel::time_point now);

    void record_shed(const observed_shed& shed, kernel::time_point now);

    /// Accepted fraction of the requests of the last two seconds; 1 if there were few.
    [[nodiscard]] double accepted_fraction(kernel::time_point now) const;

    /// Whether a considerable part of the requests is refused now.
    [[nodiscard]] bool is_shedding(kernel::time_point now) const;

    /// Whether accepted requests take so long that the upstreams' queues are filled.
    [[nodiscard]] bool is_congested(kernel::time_point now) const;

    /// Mean latency of the accepted requests of the last two seconds; zero if there were few.
    [[nodiscard]] kernel::duration recent_latency(kernel::time_point now) const;

    /// Factor, 0.25 to 1, of the limit on this host's requests in flight at the service.
    [[nodiscard]] double limit_factor(kernel::time_point now) const;

private:
    void update_base_latency(kernel::time_point now);
    [[nodiscard]] bool comes_with_load(const observed_shed& shed, kernel::time_point now) const;
    void decrease_limit(kernel::time_point now);

    window_counter accepted_;
    window_counter accepted_latency_us_;
    window_counter shed_;
    /// Refusals of upstreams at which this host used fewer requests than slots.
    window_counter shed_with_free_slots_;
    /// Latency of accepted requests at low load; zero until it is known.
    kernel::duration base_latency_{};
    kernel::time_point base_updated_at_{};
    double reduced_factor_ = 1;
    kernel::time_point reduced_at_{};
};

} // namespace wisterialane::proxy
