#pragma once

#include "kernel/clock.h"

#include <chrono>
#include <optional>

namespace wisterialane::proxy {

/// A time on the store's steady clock, in milliseconds since an epoch that the store chooses.
using store_time = std::chrono::milliseconds;

/// Converts times of the store's steady clock to this process's boot clock. With it, a process can date observations of
/// the store that another host has made.
///
/// The store reads its clock after a call is sent and before the response arrives. On the boot clock, store time `n` is
/// therefore not earlier than `n` plus the maximum of (time of sending - store time in the response) over all calls.
class store_clock {
public:
    /// Records a call that was sent at `sent_at` and whose response contains the store time `store_now`.
    void observe(kernel::time_point sent_at, store_time store_now);

    /// Earliest time on the boot clock at which the store's clock can have shown `time`; empty before the first call.
    [[nodiscard]] std::optional<kernel::time_point> earliest(store_time time) const;

private:
    std::optional<kernel::time_point> epoch_;
};

/// Tracks when the configuration of this process was last known to be the newest one.
class configuration_freshness {
public:
    /// Records that the configuration in force was the newest one at the store time `store_now`.
    void confirm(const store_clock& clock, store_time store_now);

    /// Upper bound of the time for which a newer configuration may have existed; empty before the first confirmation.
    [[nodiscard]] std::optional<kernel::duration> age(kernel::time_point now) const;

private:
    std::optional<kernel::time_point> confirmed_at_;
};

} // namespace wisterialane::proxy
