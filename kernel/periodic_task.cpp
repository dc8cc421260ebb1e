#include "kernel/periodic_task.h"

#include <utility>

namespace wisterialane::kernel {

periodic_task::periodic_task(step run) : run_{std::move(run)}, thread_{[this] { loop(); }} {}

periodic_task::~periodic_task()
{
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void periodic_task::wake()
{
    {
        const std::lock_guard lock{mutex_};
        woken_ = true;
    }
    changed_.notify_all();
}

void periodic_task::loop()
{
    std::unique_lock lock{mutex_};
    while (!stopping_) {
        woken_ = false;
        lock.unlock();
        const auto pause = run_();
        lock.lock();
        changed_.wait_for(lock, pause, [this] { return stopping_ || woken_; });
    }
}

} // namespace wisterialane::kernel
