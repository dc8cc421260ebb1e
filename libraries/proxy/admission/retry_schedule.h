#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/admission/request_priority.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace wisterialane::proxy {

/// A request that this host refuses because its upstreams shed it or are busy.
struct refused_request {
    kernel::service_name service;
    request_priority priority;
    priority_place place;
    /// Until then its caller can still be answered within the target latency of the route.
    kernel::time_point target_deadline;
    /// Usual latency of the service.
    kernel::duration usual_latency{};
};

/// Decides when the callers of refused requests should return (`Retry-After`).
///
/// Written for a service that refuses hundreds of requests a second: with one constant time, all that are refused at
/// the same moment return together and are refused again. So returns are spread over the time in which there is
/// capacity, the more urgent first, those of equal priority in the order of their refusals. A caller that returns
/// earlier gets a later time, because each refusal takes the next one.
class retry_schedule {
public:
    /// For a request that upstreams with free slots have refused. Sending it again soon has the same chance as any
    /// other request, so it may return while it can still be answered within the target latency.
    [[nodiscard]] kernel::duration after_shed(const refused_request& request, kernel::time_point now);

    /// For a request that has to wait for capacity: `expected_wait` until a request that arrives now has its turn, and
    /// the requests a second that this host's part of the service can serve.
    [[nodiscard]] kernel::duration after_overload(const refused_request& request, kernel::duration expected_wait,
                                                  double served_per_second, kernel::time_point now);

    /// For a request beyond the rate of its customer, which may send its next one after `wait`.
    [[nodiscard]] kernel::duration after_limit(const kernel::customer_name& customer, kernel::duration wait,
                                               double rate_per_second, kernel::time_point now);

private:
    struct service_returns {
        /// Time of the next return, by priority.
        std::map<request_priority, kernel::time_point> next;
        std::uint64_t sheds = 0;
    };

    std::unordered_map<kernel::service_name, service_returns> services_;
    std::unordered_map<kernel::customer_name, kernel::time_point> next_of_customers_;
};

/// The value of a `Retry-After` header: seconds with three decimals, rounded up.
[[nodiscard]] std::string retry_after_text(kernel::duration wait);

} // namespace wisterialane::proxy
