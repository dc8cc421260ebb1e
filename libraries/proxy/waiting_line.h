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
using waiting_ticket = std::uint64_t;

/// A request that waits for an upstream.
struct waiting_request {
    /// Lower is more urgent: the customer's priority, then the route's.
    int customer_priority = 0;
    int route_priority = 0;
    kernel::customer_name customer;
    /// Called when an upstream may be free; returns whether the request has left the line.
    std::function<bool()> try_start;
};

/// Requests of one service that wait for a free slot: the most urgent first, and among equals fair by customer.
///
/// Fairness is start-time fair queueing with equal cost: a request's tag is the greater of the line's virtual time and
/// the tag after its customer's last one. (P. Goyal, H. M. Vin, H. Cheng, 1996.)
class waiting_line {
public:
    /// Adds a request.
    waiting_ticket push(waiting_request request);

    /// The request no longer waits: it was cancelled or its time is up.
    void erase(waiting_ticket ticket);

    /// Offers free upstreams to the waiting requests in order until one finds none.
    void serve();

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    /// Waiting requests that go before a new one of this urgency.
    [[nodiscard]] std::size_t count_before(int customer_priority, int route_priority) const;

private:
    using order = std::tuple<int, int, std::uint64_t, waiting_ticket>;

    std::map<order, waiting_request> entries_;
    std::map<waiting_ticket, order> orders_;
    std::map<kernel::customer_name, std::uint64_t> next_tags_;
    std::uint64_t virtual_time_ = 0;
    waiting_ticket last_ticket_ = 0;
};

} // namespace wisterialane::proxy
