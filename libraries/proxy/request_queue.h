#pragma once

#include "kernel/identifiers.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>

namespace wisterialane::proxy {

/// Identifies a waiting request within its line; never 0.
using queue_ticket = std::uint64_t;

/// A request that waits for an upstream.
struct queued_request {
    /// Lower is more urgent: the customer's priority, then the route's.
    int customer_priority = 0;
    int route_priority = 0;
    kernel::customer_name customer;
    /// Called when an upstream may be free; returns whether the request has left the line.
    std::function<bool()> try_dispatch;
};

/// Requests of one service that wait for a free slot: the most urgent first, and among equals fair by customer.
///
/// Fairness is start-time fair queueing with equal cost: a request's tag is the greater of the line's virtual time and
/// the tag after its customer's last one. (P. Goyal, H. M. Vin, H. Cheng, 1996.)
class request_queue {
public:
    /// Adds a request.
    queue_ticket push(queued_request request);

    /// The request no longer waits: it was cancelled or its time is up.
    void erase(queue_ticket ticket);

    /// Offers free upstreams to the waiting requests in order until one finds none.
    void dispatch();

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    /// Waiting requests that go before a new one of this urgency.
    [[nodiscard]] std::size_t count_ahead_of(int customer_priority, int route_priority) const;

private:
    using order = std::tuple<int, int, std::uint64_t, queue_ticket>;

    std::map<order, queued_request> entries_;
    std::map<queue_ticket, order> orders_;
    std::map<kernel::customer_name, std::uint64_t> next_tags_;
    std::uint64_t virtual_time_ = 0;
    queue_ticket last_ticket_ = 0;
};

} // namespace wisterialane::proxy
