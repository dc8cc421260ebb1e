#pragma once

#include <csignal>

namespace wisterialane {

/// Blocks SIGTERM and SIGINT in the calling thread and in all threads that it starts later, so that they interrupt no
/// library call; `wait` accepts them. Must be created before the first thread.
class stop_signal {
public:
    stop_signal();

    /// Whether one of the signals has arrived and `wait` has not accepted it yet.
    [[nodiscard]] bool pending() const;

    /// Blocks until one of the signals arrives.
    void wait() const;

private:
    sigset_t signals_{};
};

} // namespace wisterialane
