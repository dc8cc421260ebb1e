#pragma once

#include "kernel/clock.h"

#include <chrono>

namespace wisterialane::proxy {

/// How long an upstream is still cold, as its entry, its responses and failed connections tell this host.
///
/// The end of the cold time is kept on the host's clock, because an entry is not rewritten while its time runs out.
class cold_state {
public:
    /// Records what an entry or a response of the upstream says now. Returns whether the upstream has become cold or
    /// warm, or the end has moved noticeably.
    bool record_statement(std::chrono::milliseconds left, kernel::time_point now);

    /// Records that no connection to the upstream could be opened: its process may have ended, and the next one starts
    /// cold, possibly without an entry yet. Until a connection succeeds, it counts as cold for some time.
    void record_connect_failure(kernel::time_point now);

    /// Records that a connection was open. After a failure to connect, the upstream is cold for `cold_start` from now.
    void record_connection(kernel::duration cold_start, kernel::time_point now);

    /// Whether a failure to connect counts, and neither a connection nor a statement has followed it.
    [[nodiscard]] bool awaits_connection(kernel::time_point now) const { return now < awaits_connection_until_; }

    [[nodiscard]] bool is_cold(kernel::time_point now) const { return awaits_connection(now) || now < cold_until_; }

    /// Time for which it is still cold, as far as that is known; zero if it is warm.
    [[nodiscard]] kernel::duration remaining(kernel::time_point now) const;

private:
    kernel::time_point cold_until_{};
    kernel::time_point awaits_connection_until_{};
};

} // namespace wisterialane::proxy
