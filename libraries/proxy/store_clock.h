#pragma once

#include "kernel/clock.h"

#include <chrono>
#include <optional>

namespace wisterialane::proxy {

/// A reading of the store's steady clock, in milliseconds since an epoch of the store's own.
using store_time = std::chrono::milliseconds;

/// Relates the store's steady clock to this process's boot clock, so that an observation of the store can be dated
/// whoever made it.
///
/// The store reads its clock between the sending of a call and the arrival of its answer. So a store time `n` was
/// never earlier, on the boot clock, than `n` plus the greatest (sent - answered store time) of all calls.
class store_clock {
public:
    /// A call was sent at `sent`, and its answer says `read`.
    void observe(kernel::time_point sent, store_time read);

    /// The earliest moment of the boot clock at which the store's clock can have shown `read`.
    [[nodiscard]] std::optional<kernel::time_point> earliest(store_time read) const;

private:
    std::optional<kernel::time_point> epoch_;
};

/// How recently this process knows that its configuration was the newest one.
class configuration_freshness {
public:
    /// The configuration in use was the newest when the store's clock showed `read`.
    void confirm(const store_clock& clock, store_time read);

    /// Upper bound of the time for which a newer configuration may have existed; nothing before the first
    /// confirmation.
    [[nodiscard]] std::optional<kernel::duration> age(kernel::time_point now) const;

private:
    std::optional<kernel::time_point> confirmed_;
};

} // namespace wisterialane::proxy
