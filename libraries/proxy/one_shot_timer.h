#pragma once

#include "libraries/proxy/network.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace wisterialane::proxy {

/// Calls a function once after a delay.
///
/// Cancelling a timer of the event loop does not take back an expiry that is already queued, which happens whenever the
/// loop is late. Here such an expiry is discarded: once `cancel` or `start` was called, or the timer was destroyed, the
/// earlier function is not called any more.
class one_shot_timer {
public:
    explicit one_shot_timer(const io_context::executor_type& executor) : timer_{executor} {}

    one_shot_timer(const one_shot_timer&) = delete;
    one_shot_timer& operator=(const one_shot_timer&) = delete;

    ~one_shot_timer() { cancel(); }

    /// Replaces an earlier start. The function is released when it was called or is no longer to be called.
    void start(kernel::duration delay, std::function<void()> on_expiry);

    void cancel();

private:
    timer timer_;
    /// Number of starts and cancellations; an expiry is valid only for the start that it belongs to.
    std::shared_ptr<std::uint64_t> generation_ = std::make_shared<std::uint64_t>(0);
};

} // namespace wisterialane::proxy
