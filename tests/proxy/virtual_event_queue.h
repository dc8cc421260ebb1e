#pragma once

#include "tests/proxy/proxy_fixture.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace wisterialane::proxy {

/// Runs scheduled actions in the order of their times, in virtual time.
class virtual_event_queue {
public:
    [[nodiscard]] kernel::time_point now() const { return now_; }

    void schedule(kernel::time_point due, std::function<void()> action)
    {
        events_.push({due, ++order_, std::move(action)});
    }

    /// Runs all actions that are due within this time from now.
    void run(kernel::duration duration)
    {
        const auto end = now_ + duration;
        while (!events_.empty() && events_.top().due < end) {
            const auto next = events_.top();
            events_.pop();
            now_ = next.due;
            next.action();
        }
    }

private:
    struct event {
        kernel::time_point due;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const event& other) const { return std::tie(due, order) > std::tie(other.due, other.order); }
    };

    kernel::time_point now_ = test_start;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
};

} // namespace wisterialane::proxy
