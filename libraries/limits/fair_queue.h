#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wisterialane::limits {

/// Identifies a waiting request for the owner of the queue; unique among the waiting ones.
using queue_ticket = kernel::strong_type<struct queue_ticket_tag, std::uint64_t>;

struct queued_request {
    kernel::customer_name customer;
    queue_ticket ticket;
    /// Expected time for which the request occupies a slot; above zero.
    kernel::duration cost{};
    /// When its answer must be complete.
    kernel::time_point deadline;
};

enum class push_outcome { queued, full, deadline_unreachable };

struct push_result {
    push_outcome outcome = push_outcome::queued;
    /// A request of the customer with the largest backlog, which was removed to make room. It did not run.
    std::optional<queue_ticket> displaced;
};

struct pop_result {
    std::optional<queued_request> next;
    /// Requests that were removed because their deadline can no longer be met. They did not run.
    std::vector<queue_ticket> expired;
};

/// Waiting requests, served by deficit round robin over customers (Shreedhar, Varghese 1995) with cost in slot time.
class fair_queue {
public:
    struct options {
        std::size_t maximum_length = 1024;
        /// Slot time that each customer receives in one round.
        kernel::duration quantum = std::chrono::milliseconds{10};
        /// Requests that are served at once; used to estimate waiting times.
        unsigned slots = 1;
    };

    explicit fair_queue(const options& settings) : settings_{settings} {}

    /// Refuses a request that would not be complete by its deadline if every slot worked on the queue in fair order.
    /// If the queue is full, the last request of the customer with the largest backlog makes room, unless this
    /// customer's backlog would be as large.
    push_result push(const queued_request& request, kernel::time_point now);

    /// The request to run next.
    pop_result pop(kernel::time_point now);

    /// Removes a request whose caller no longer waits. Costs the length of the queue.
    bool remove(queue_ticket ticket);

    [[nodiscard]] std::size_t length() const { return length_; }

    /// Time until a request of this customer and cost would start.
    [[nodiscard]] kernel::duration estimated_wait(const kernel::customer_name& customer, kernel::duration cost) const;

    void set_slots(unsigned slots) { settings_.slots = slots; }

private:
    struct customer_queue {
        kernel::customer_name customer;
        std::deque<queued_request> requests;
        kernel::duration backlog{};
        kernel::duration deficit{};
    };

    using queue_list = std::list<customer_queue>;

    void drop_expired(customer_queue& queue, kernel::time_point now, std::vector<queue_ticket>& expired);
    std::optional<queue_ticket> displace_for(const queued_request& request);
    void next_round(queue_list::iterator queue);
    void erase(queue_list::iterator queue);

    options settings_;
    /// Customers with waiting requests, in order of service; the first one is being served.
    queue_list active_;
    std::unordered_map<kernel::customer_name, queue_list::iterator> by_customer_;
    std::size_t length_ = 0;
};

} // namespace wisterialane::limits
