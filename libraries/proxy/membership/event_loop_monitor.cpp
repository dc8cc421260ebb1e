#include "libraries/proxy/membership/event_loop_monitor.h"

#include <algorithm>

#include <boost/asio/post.hpp>

namespace wisterialane::proxy {
namespace {

/// Bounds the cost of the measurement.
constexpr std::chrono::milliseconds minimum_post_interval{50};

} // namespace

kernel::duration event_loop_monitor::on_timer(kernel::time_point now, kernel::duration interval)
{
    if (!timer_due_) {
        timer_due_ = now;
    }
    const auto late_by = std::max(kernel::duration::zero(), now - *timer_due_);
    on_delay_(late_by, now);
    *timer_due_ += (late_by / interval + 1) * interval;
    return *timer_due_ - now;
}

void event_loop_monitor::on_request(kernel::time_point now)
{
    if (waiting_ || now - posted_at_ < minimum_post_interval) {
        return;
    }
    waiting_ = true;
    posted_at_ = now;
    boost::asio::post(context_, [weak = weak_from_this(), now] {
        if (const auto self = weak.lock()) {
            self->on_posted_function(now);
        }
    });
}

void event_loop_monitor::on_posted_function(kernel::time_point posted_at)
{
    waiting_ = false;
    const auto now = clock_();
    on_delay_(now - posted_at, now);
}

} // namespace wisterialane::proxy
