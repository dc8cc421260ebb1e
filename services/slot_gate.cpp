#include "services/slot_gate.h"

#include "libraries/health/health_events.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace wisterialane::services {
namespace {

// A slot can become free without a release here, for example when an ejection ends, so waiters look again.
constexpr std::chrono::milliseconds look_again_after{20};

// Weight of the newest slot time in the mean, as 1/8 of the difference.
constexpr int smoothing_divisor = 8;

} // namespace

slot_gate::service_queue& slot_gate::queue_of(const kernel::service_name& service)
{
    const std::lock_guard lock{mutex_};
    auto& queue = queues_[service];
    if (!queue) {
        queue = std::make_unique<service_queue>();
    }
    return *queue;
}

std::optional<slot_gate::choice> slot_gate::try_choose(const slot_request& request, kernel::time_point now) const
{
    auto chosen = choose_(request, now);
    if (chosen) {
        return choice{std::move(*chosen)};
    }
    if (chosen.error().is(health::health_event::upstreams_busy)) {
        return std::nullopt;
    }
    return choice{tl::unexpected{gate_refusal::no_upstream}};
}

tl::expected<health::chosen_upstream, gate_refusal> slot_gate::acquire(const slot_request& request)
{
    auto& queue = queue_of(request.service);
    std::unique_lock lock{queue.mutex};
    // A newcomer must not take the slot that a waiting request is about to get.
    if (queue.queue.length() == 0 && !queue.head) {
        if (auto chosen = try_choose(request, clock_())) {
            return std::move(*chosen);
        }
    }
    waiter entry;
    entry.request = request;
    const limits::queue_ticket ticket{++queue.last_ticket};
    if (const auto refused = enqueue(queue, entry, ticket)) {
        return tl::unexpected{*refused};
    }
    return wait(queue, entry, ticket, lock);
}

std::optional<gate_refusal> slot_gate::enqueue(service_queue& queue, waiter& entry, limits::queue_ticket ticket)
{
    const auto& request = entry.request;
    const auto pushed = queue.queue.push({request.customer, ticket, queue.mean_slot_time, request.deadline}, clock_());
    if (pushed.displaced) {
        settle(queue, *pushed.displaced, tl::unexpected{gate_refusal::overloaded});
    }
    switch (pushed.outcome) {
    case limits::push_outcome::full:
        return gate_refusal::overloaded;
    case limits::push_outcome::deadline_unreachable:
        return gate_refusal::deadline;
    case limits::push_outcome::queued:
        break;
    }
    queue.waiters.emplace(ticket, &entry);
    return std::nullopt;
}

slot_gate::choice slot_gate::wait(service_queue& queue, waiter& entry, limits::queue_ticket ticket,
                                  std::unique_lock<std::mutex>& lock)
{
    while (!entry.outcome) {
        entry.ready.wait_for(lock, look_again_after);
        if (entry.outcome) {
            break;
        }
        const auto now = clock_();
        serve(queue, now);
        if (!entry.outcome && now >= entry.request.deadline) {
            settle(queue, ticket, tl::unexpected{gate_refusal::deadline});
        }
    }
    return std::move(*entry.outcome);
}

// Removes the request from wherever it waits and hands it its outcome.
void slot_gate::settle(service_queue& queue, limits::queue_ticket ticket, choice outcome)
{
    if (queue.head == ticket) {
        queue.head.reset();
    }
    else {
        queue.queue.remove(ticket);
    }
    const auto found = queue.waiters.find(ticket);
    if (found == queue.waiters.end()) {
        return;
    }
    found->second->outcome = std::move(outcome);
    found->second->ready.notify_one();
    queue.waiters.erase(found);
}

void slot_gate::serve(service_queue& queue, kernel::time_point now)
{
    while (true) {
        if (!queue.head) {
            auto popped = queue.queue.pop(now);
            for (const auto expired : popped.expired) {
                settle(queue, expired, tl::unexpected{gate_refusal::deadline});
            }
            if (!popped.next) {
                return;
            }
            queue.head = popped.next->ticket;
        }
        const auto ticket = *queue.head;
        auto chosen = try_choose(queue.waiters.at(ticket)->request, now);
        if (!chosen) {
            return;
        }
        settle(queue, ticket, std::move(*chosen));
    }
}

void slot_gate::release(const kernel::service_name& service, kernel::duration slot_time)
{
    auto& queue = queue_of(service);
    const std::lock_guard lock{queue.mutex};
    queue.mean_slot_time += (slot_time - queue.mean_slot_time) / smoothing_divisor;
    queue.mean_slot_time = std::max<kernel::duration>(queue.mean_slot_time, std::chrono::microseconds{1});
    serve(queue, clock_());
}

void slot_gate::set_slots(const kernel::service_name& service, unsigned slots)
{
    auto& queue = queue_of(service);
    const std::lock_guard lock{queue.mutex};
    queue.queue.set_slots(std::max(1U, slots));
}

std::size_t slot_gate::waiting() const
{
    const std::lock_guard lock{mutex_};
    std::size_t total = 0;
    for (const auto& [service, queue] : queues_) {
        const std::lock_guard queue_lock{queue->mutex};
        total += queue->waiters.size();
    }
    return total;
}

} // namespace wisterialane::services
