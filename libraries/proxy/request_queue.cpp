#include "libraries/proxy/request_queue.h"

#include <algorithm>

namespace wisterialane::proxy {
namespace {

/// A request waits behind others only if a response is expected within this part of its remaining time.
constexpr int queued_time_divisor = 2;
/// Part of the usual latency that an upstream needs at least for a response.
constexpr int minimum_latency_divisor = 2;

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
    const order_key key{request.customer_priority, request.route_priority, tag, ticket};
    order_keys_.emplace(ticket, key);
    entries_.emplace(key, std::move(request));
    return ticket;
}

void request_queue::erase(queue_ticket ticket)
{
    const auto found = order_keys_.find(ticket);
    if (found == order_keys_.end()) {
        return;
    }
    entries_.erase(found->second);
    order_keys_.erase(found);
    if (entries_.empty()) {
        next_tags_.clear();
        virtual_time_ = 0;
    }
}

void request_queue::dispatch()
{
    while (!entries_.empty()) {
        const auto key = entries_.begin()->first;
        const auto try_dispatch = entries_.begin()->second.try_dispatch;
        if (!try_dispatch()) {
            return;
        }
        virtual_time_ = std::max(virtual_time_, std::get<2>(key));
        erase(std::get<3>(key));
    }
}

std::size_t request_queue::count_ahead_of(int customer_priority, int route_priority) const
{
    return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [&](const auto& entry) {
        return std::tie(entry.second.customer_priority, entry.second.route_priority) <=
               std::tie(customer_priority, route_priority);
    }));
}

} // namespace wisterialane::proxy
