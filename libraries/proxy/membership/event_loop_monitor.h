#pragma once

#include "libraries/proxy/network.h"

#include <functional>
#include <memory>
#include <optional>

namespace wisterialane::proxy {

/// Measures how late the event loop runs: by a periodic timer, and while requests arrive by the time that a posted
/// function waits behind the work that is ready.
class event_loop_monitor : public std::enable_shared_from_this<event_loop_monitor> {
public:
    /// Called with each measured delay.
    using listener = std::function<void(kernel::duration late_by, kernel::time_point now)>;

    event_loop_monitor(io_context& context, kernel::clock_source clock, listener on_delay)
        : context_{context}, clock_{std::move(clock)}, on_delay_{std::move(on_delay)}
    {}

    /// Called by a periodic timer. Returns the time after which the timer is due again: at a multiple of the interval
    /// since the first call. A timer that is due a fixed time after it ran would keep step with a loop that is blocked
    /// periodically, and always run soon after a block.
    [[nodiscard]] kernel::duration on_timer(kernel::time_point now, kernel::duration interval);

    /// Called for each request.
    void on_request(kernel::time_point now);

private:
    void on_posted_function(kernel::time_point posted_at);

    io_context& context_;
    kernel::clock_source clock_;
    listener on_delay_;
    std::optional<kernel::time_point> timer_due_;
    kernel::time_point posted_at_{};
    bool waiting_ = false;
};

} // namespace wisterialane::proxy
