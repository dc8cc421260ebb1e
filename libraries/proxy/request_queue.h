#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/admission/request_priority.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <tuple>

namespace wisterialane::proxy {

/// Identifies a request within its queue; never 0.
using queue_ticket = std::uint64_t;

/// A request that waits for an upstream.
struct queued_request {
    /// Lower is more urgent: the customer's priority, then the route's.
    int customer_priority = 0;
    int route_priority = 0;
    kernel::customer_name customer;
    /// Called when an upstream may be free. Returns whether the request was sent or ended and leaves the queue.
    std::function<bool()> try_dispatch;
    /// If it is dispatched later, its response misses the target latency of its route.
    kernel::time_point late_after = kernel::time_point::max();
    kernel::time_point response_deadline = kernel::time_point::max();
    /// Called when the request has been removed because no response before its deadline can be expected any more, with
    /// the wait that was expected.
    std::function<void(kernel::duration)> refuse = {};
};

/// The state of a host's queue at the arrival of a request.
struct queue_state {
    /// Usual latency of the service, including the wait in its upstreams' queues.
    kernel::duration usual_latency{};
    /// Waiting requests that are dispatched before the new one.
    std::size_t ahead = 0;
    /// Requests of this host in flight at the service.
    std::size_t in_flight = 0;
};

/// Expected time until the request is dispatched.
[[nodiscard]] kernel::duration expected_wait(const queue_state& state);

/// Whether a request with this time until its deadline should wait, because a response in time can be expected. More
/// urgent requests may overtake it meanwhile.
[[nodiscard]] bool should_wait(const queue_state& state, kernel::duration remaining);

/// Whether a request that has waited should wait on. Less strict than `should_wait`: what was left for requests that
/// overtake it is in `ahead` now.
[[nodiscard]] bool should_wait_on(const queue_state& state, kernel::duration remaining);

/// A waiting request with less time until its deadline is not dispatched any more: a response in time is unlikely, and
/// the slot is of more use to another request.
[[nodiscard]] kernel::duration minimum_dispatch_time(kernel::duration usual_latency);

/// Requests of one service that wait for a free slot: ordered by priority, and fair among customers of equal priority.
///
/// Of equal priority, requests whose response can still meet its target latency go before late ones. In arrival order
/// an overloaded queue grows until all responses are late; in this order those that are served are in time.
///
/// Fairness is start-time fair queueing with equal cost: a request's tag is the greater of the queue's virtual time and
/// the tag after its customer's last one. (P. Goyal, H. M. Vin, H. Cheng, 1996.)
class request_queue {
public:
    queue_ticket push(queued_request request);

    /// Removes a request that was cancelled or has timed out; without effect if it has left the queue.
    void erase(queue_ticket ticket);

    /// Calls `try_dispatch` of the waiting requests in order until one returns false.
    void dispatch(kernel::time_point now);

    /// Calls `try_dispatch` of all waiting requests in order. For changes after which a request may have to be refused
    /// although others before it must wait.
    void dispatch_all(kernel::time_point now);

    /// Judges all waiting requests again by their places now, and refuses those for which no response before their
    /// deadlines can be expected. `service` holds the usual latency and the requests in flight. Called when the queue,
    /// the capacity or the priorities ahead may have changed; passes through the queue at most once in 50 ms, so that
    /// the cost of a request does not grow with the number of events.
    void review(const queue_state& service, kernel::time_point now);

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    /// Number of waiting requests that are dispatched before a new one of these priorities that is not late.
    [[nodiscard]] std::size_t count_ahead_of(int customer_priority, int route_priority, kernel::time_point now);

private:
    struct order_key {
        int customer_priority = 0;
        int route_priority = 0;
        bool late = false;
        std::uint64_t tag = 0;
        queue_ticket ticket = 0;

        friend bool operator<(const order_key& left, const order_key& right)
        {
            return std::tie(left.customer_priority, left.route_priority, left.late, left.tag, left.ticket) <
                   std::tie(right.customer_priority, right.route_priority, right.late, right.tag, right.ticket);
        }
    };

    /// Waiting requests of one priority.
    struct priority_counts {
        std::size_t in_time = 0;
        std::size_t late = 0;
    };

    void move_late_requests(kernel::time_point now);
    void uncount(const order_key& key);

    std::map<order_key, queued_request> entries_;
    std::map<queue_ticket, order_key> order_keys_;
    std::map<request_priority, priority_counts> counts_;
    kernel::time_point reviewed_at_{};
    /// Waiting requests that are not late yet, by the time at which they will be.
    std::multimap<kernel::time_point, queue_ticket> not_late_;
    std::map<kernel::customer_name, std::uint64_t> next_tags_;
    std::uint64_t virtual_time_ = 0;
    queue_ticket last_ticket_ = 0;
};

} // namespace wisterialane::proxy
