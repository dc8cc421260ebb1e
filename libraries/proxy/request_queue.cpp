#include "libraries/proxy/request_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace wisterialane::proxy {
namespace {

/// A request waits behind others only if a response is expected within this part of its remaining time.
constexpr int queued_time_divisor = 2;
/// Part of the usual latency that an upstream needs at least for a response.
constexpr int minimum_latency_divisor = 2;
/// Least time between two passes through the queue. Shorter than any target latency by a factor of ten.
constexpr kernel::duration review_interval = std::chrono::milliseconds{50};

} // namespace

kernel::duration expected_wait(const queue_state& state)
{
    return state.usual_latency * static_cast<std::int64_t>(state.ahead + 1) /
           static_cast<std::int64_t>(std::max<std::size_t>(1, state.in_flight));
}

bool should_wait(const queue_state& state, kernel::duration remaining)
{
    const auto wait = expected_wait(state);
    if (state.ahead == 0) {
        return wait + minimum_dispatch_time(state.usual_latency) <= remaining;
    }
    return wait + state.usual_latency <= remaining / queued_time_divisor;
}

bool should_wait_on(const queue_state& state, kernel::duration remaining)
{
    const auto needed = state.ahead == 0 ? minimum_dispatch_time(state.usual_latency) : state.usual_latency;
    return expected_wait(state) + needed <= remaining;
}

kernel::duration minimum_dispatch_time(kernel::duration usual_latency)
{
    return usual_latency / minimum_latency_divisor;
}

queue_ticket request_queue::push(queued_request request)
{
    auto& next = next_tags_[request.customer];
    const auto tag = std::max(next, virtual_time_);
    next = tag + 1;
    const auto ticket = ++last_ticket_;
    const order_key key{request.customer_priority, request.route_priority, false, tag, ticket};
    order_keys_.emplace(ticket, key);
    not_late_.emplace(request.late_after, ticket);
    ++counts_[{key.customer_priority, key.route_priority}].in_time;
    entries_.emplace(key, std::move(request));
    return ticket;
}

void request_queue::erase(queue_ticket ticket)
{
    const auto found = order_keys_.find(ticket);
    if (found == order_keys_.end()) {
        return;
    }
    uncount(found->second);
    entries_.erase(found->second);
    order_keys_.erase(found);
    if (entries_.empty()) {
        counts_.clear();
        next_tags_.clear();
        not_late_.clear();
        virtual_time_ = 0;
    }
}

void request_queue::move_late_requests(kernel::time_point now)
{
    while (!not_late_.empty() && not_late_.begin()->first < now) {
        const auto ticket = not_late_.begin()->second;
        not_late_.erase(not_late_.begin());
        const auto found = order_keys_.find(ticket);
        if (found == order_keys_.end()) {
            continue;
        }
        auto node = entries_.extract(found->second);
        uncount(found->second);
        found->second.late = true;
        ++counts_[{found->second.customer_priority, found->second.route_priority}].late;
        node.key() = found->second;
        entries_.insert(std::move(node));
    }
}

void request_queue::dispatch(kernel::time_point now)
{
    move_late_requests(now);
    while (!entries_.empty()) {
        const auto key = entries_.begin()->first;
        const auto try_dispatch = entries_.begin()->second.try_dispatch;
        if (!try_dispatch()) {
            return;
        }
        virtual_time_ = std::max(virtual_time_, key.tag);
        erase(key.ticket);
    }
}

void request_queue::dispatch_all(kernel::time_point now)
{
    move_late_requests(now);
    std::vector<queue_ticket> tickets;
    for (const auto& [key, waiting] : entries_) {
        tickets.push_back(key.ticket);
    }
    for (const auto ticket : tickets) {
        const auto found = order_keys_.find(ticket);
        if (found == order_keys_.end()) {
            continue;
        }
        const auto key = found->second;
        const auto try_dispatch = entries_.at(key).try_dispatch;
        if (try_dispatch()) {
            virtual_time_ = std::max(virtual_time_, key.tag);
            erase(ticket);
        }
    }
}

void request_queue::uncount(const order_key& key)
{
    auto& counts = counts_[{key.customer_priority, key.route_priority}];
    --(key.late ? counts.late : counts.in_time);
}

void request_queue::review(const queue_state& service, kernel::time_point now)
{
    if (entries_.empty() || now - reviewed_at_ < review_interval) {
        return;
    }
    reviewed_at_ = now;
    move_late_requests(now);
    auto state = service;
    state.ahead = 0;
    std::vector<std::pair<queue_ticket, kernel::duration>> refused;
    for (const auto& [key, waiting] : entries_) {
        if (!waiting.refuse || should_wait_on(state, waiting.response_deadline - now)) {
            ++state.ahead;
            continue;
        }
        refused.emplace_back(key.ticket, expected_wait(state));
    }
    for (const auto& [ticket, wait] : refused) {
        const auto found = order_keys_.find(ticket);
        if (found == order_keys_.end()) {
            continue;
        }
        const auto refuse = std::move(entries_.at(found->second).refuse);
        erase(ticket);
        refuse(wait);
    }
}

std::size_t request_queue::count_ahead_of(int customer_priority, int route_priority, kernel::time_point now)
{
    move_late_requests(now);
    const request_priority priority{customer_priority, route_priority};
    std::size_t ahead = 0;
    for (const auto& [other, counts] : counts_) {
        ahead += other < priority ? counts.in_time + counts.late : 0;
        ahead += other == priority ? counts.in_time : 0;
    }
    return ahead;
}

} // namespace wisterialane::proxy
