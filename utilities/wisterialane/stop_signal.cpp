#include "utilities/wisterialane/stop_signal.h"

namespace wisterialane {

stop_signal::stop_signal()
{
    ::sigemptyset(&signals_);
    ::sigaddset(&signals_, SIGTERM);
    ::sigaddset(&signals_, SIGINT);
    ::pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
}

bool stop_signal::pending() const
{
    sigset_t pending_signals{};
    ::sigpending(&pending_signals);
    return ::sigismember(&pending_signals, SIGTERM) == 1 || ::sigismember(&pending_signals, SIGINT) == 1;
}

void stop_signal::wait() const
{
    int received = 0;
    ::sigwait(&signals_, &received);
}

} // namespace wisterialane
