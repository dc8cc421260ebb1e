#pragma once

#include <csignal>

namespace wisterialane {

/// SIGTERM and SIGINT, blocked in all threads that start later and taken by `wait`, so that no library call is
/// interrupted. Create it before the first thread.
class stop_signal {
public:
    stop_signal();

    /// Whether a signal waits to be taken.
    [[nodiscard]] bool pending() const;

    /// Blocks until one of the signals comes.
    void wait() const;

private:
    sigset_t signals_{};
};

} // namespace wisterialane
