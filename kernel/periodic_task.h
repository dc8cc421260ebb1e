#pragma once

#include "kernel/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace wisterialane::kernel {

/// Runs a function repeatedly on its own thread, with a pause after each run, until the task is destroyed.
class periodic_task {
public:
    /// The function returns the pause before its next run.
    using step = std::function<duration()>;

    explicit periodic_task(step run);
    periodic_task(const periodic_task&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;
    ~periodic_task();

    /// Ends the current pause at once.
    void wake();

private:
    void loop();

    step run_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    bool woken_ = false;
    std::thread thread_;
};

} // namespace wisterialane::kernel
