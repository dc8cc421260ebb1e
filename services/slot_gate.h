#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/health/outcome.h"
#include "libraries/limits/fair_queue.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace wisterialane::services {

/// Why no upstream could be had. The request did not run.
enum class gate_refusal { no_upstream, overloaded, deadline };

/// A request that needs an upstream of a service.
struct slot_request {
    kernel::service_name service;
    kernel::route_name route;
    kernel::customer_name customer;
    std::unordered_set<kernel::upstream_name> excluded;
    kernel::time_point deadline;
};

/// Gives requests an upstream with a free slot, or lets them wait in a queue that is fair to customers. Thread-safe.
class slot_gate {
public:
    /// Chooses an upstream and counts the request in flight there. Fails with a `health_event`.
    using chooser = std::function<kernel::result<health::chosen_upstream>(const slot_request&, kernel::time_point now)>;

    slot_gate(chooser choose, kernel::clock_source clock) : choose_{std::move(choose)}, clock_{std::move(clock)} {}

    /// Waits at most until the request's deadline.
    tl::expected<health::chosen_upstream, gate_refusal> acquire(const slot_request& request);

    /// A request of this service has left its upstream, after having occupied a slot for `slot_time`.
    void release(const kernel::service_name& service, kernel::duration slot_time);

    /// Slots of all upstreams of the service, for the estimate of waiting times.
    void set_slots(const kernel::service_name& service, unsigned slots);

    /// Requests that wait now, over all services.
    [[nodiscard]] std::size_t waiting() const;

private:
    using choice = tl::expected<health::chosen_upstream, gate_refusal>;

    struct waiter {
        slot_request request;
        std::condition_variable ready;
        std::optional<choice> outcome;
    };

    struct service_queue {
        std::mutex mutex;
        limits::fair_queue queue{limits::fair_queue::options{}};
        std::unordered_map<limits::queue_ticket, waiter*> waiters;
        /// Next in turn, taken from the queue before a slot was free.
        std::optional<limits::queue_ticket> head;
        std::uint64_t last_ticket = 0;
        kernel::duration mean_slot_time = std::chrono::milliseconds{10};
    };

    service_queue& queue_of(const kernel::service_name& service);
    std::optional<choice> try_choose(const slot_request& request, kernel::time_point now) const;
    std::optional<gate_refusal> enqueue(service_queue& queue, waiter& entry, limits::queue_ticket ticket);
    void serve(service_queue& queue, kernel::time_point now);
    static void settle(service_queue& queue, limits::queue_ticket ticket, choice outcome);
    choice wait(service_queue& queue, waiter& entry, limits::queue_ticket ticket, std::unique_lock<std::mutex>& lock);

    chooser choose_;
    kernel::clock_source clock_;
    mutable std::mutex mutex_;
    std::unordered_map<kernel::service_name, std::unique_ptr<service_queue>> queues_;
};

} // namespace wisterialane::services
