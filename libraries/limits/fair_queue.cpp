#include "libraries/limits/fair_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wisterialane::limits {

push_result fair_queue::push(const queued_request& request, kernel::time_point now)
{
    if (now + estimated_wait(request.customer, request.cost) + request.cost > request.deadline) {
        return {push_outcome::deadline_unreachable, std::nullopt};
    }
    push_result result;
    if (length_ >= settings_.maximum_length) {
        result.displaced = displace_for(request);
        if (!result.displaced) {
            return {push_outcome::full, std::nullopt};
        }
    }
    auto found = by_customer_.find(request.customer);
    if (found == by_customer_.end()) {
        active_.push_back({request.customer, {}, {}, settings_.quantum});
        found = by_customer_.emplace(request.customer, std::prev(active_.end())).first;
    }
    found->second->requests.push_back(request);
    found->second->backlog += request.cost;
    ++length_;
    return result;
}

pop_result fair_queue::pop(kernel::time_point now)
{
    pop_result result;
    while (!active_.empty()) {
        const auto queue = active_.begin();
        drop_expired(*queue, now, result.expired);
        if (queue->requests.empty()) {
            erase(queue);
            continue;
        }
        if (queue->requests.front().cost > queue->deficit) {
            next_round(queue);
            continue;
        }
        result.next = std::move(queue->requests.front());
        queue->requests.pop_front();
        queue->deficit -= result.next->cost;
        queue->backlog -= result.next->cost;
        --length_;
        // A customer without waiting requests keeps no deficit, as it would otherwise save up service.
        if (queue->requests.empty()) {
            erase(queue);
        }
        return result;
    }
    return result;
}

bool fair_queue::remove(queue_ticket ticket)
{
    for (auto queue = active_.begin(); queue != active_.end(); ++queue) {
        const auto found = std::find_if(queue->requests.begin(), queue->requests.end(),
                                        [ticket](const auto& request) { return request.ticket == ticket; });
        if (found == queue->requests.end()) {
            continue;
        }
        queue->backlog -= found->cost;
        queue->requests.erase(found);
        --length_;
        if (queue->requests.empty()) {
            erase(queue);
        }
        return true;
    }
    return false;
}

// In fair order, every other customer gets at most as much service as this one before the request starts.
kernel::duration fair_queue::estimated_wait(const kernel::customer_name& customer, kernel::duration cost) const
{
    const auto own = by_customer_.find(customer);
    const auto own_backlog = own == by_customer_.end() ? kernel::duration::zero() : own->second->backlog;
    auto ahead = own_backlog;
    for (const auto& queue : active_) {
        if (queue.customer != customer) {
            ahead += std::min(queue.backlog, own_backlog + cost);
        }
    }
    return ahead / std::max(1U, settings_.slots);
}

void fair_queue::drop_expired(customer_queue& queue, kernel::time_point now, std::vector<queue_ticket>& expired)
{
    while (!queue.requests.empty() && now + queue.requests.front().cost > queue.requests.front().deadline) {
        expired.push_back(queue.requests.front().ticket);
        queue.backlog -= queue.requests.front().cost;
        queue.requests.pop_front();
        --length_;
    }
}

std::optional<queue_ticket> fair_queue::displace_for(const queued_request& request)
{
    const auto own = by_customer_.find(request.customer);
    const auto own_backlog = request.cost + (own == by_customer_.end() ? kernel::duration{} : own->second->backlog);
    const auto largest = std::max_element(active_.begin(), active_.end(), [](const auto& left, const auto& right) {
        return left.backlog < right.backlog;
    });
    if (largest == active_.end() || largest->backlog <= own_backlog) {
        return std::nullopt;
    }
    const auto displaced = largest->requests.back();
    largest->requests.pop_back();
    largest->backlog -= displaced.cost;
    --length_;
    if (largest->requests.empty()) {
        erase(largest);
    }
    return displaced.ticket;
}

void fair_queue::next_round(queue_list::iterator queue)
{
    queue->deficit += settings_.quantum;
    active_.splice(active_.end(), active_, queue);
}

void fair_queue::erase(queue_list::iterator queue)
{
    by_customer_.erase(queue->customer);
    active_.erase(queue);
}

} // namespace wisterialane::limits
