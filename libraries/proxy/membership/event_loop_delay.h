#pragma once

#include "kernel/clock.h"
#include "libraries/proxy/membership/recent_peak.h"

namespace wisterialane::proxy {

/// Hosts get their processor time in slices of this length, so an event loop that is late by less is not overloaded.
inline constexpr kernel::duration processor_time_slice = std::chrono::milliseconds{100};

/// Longest delay that a host reports.
inline constexpr kernel::duration maximum_reported_delay = std::chrono::milliseconds{1200};

/// How late this host's event loop runs what is due, smoothed over about a second.
class event_loop_delay {
public:
    /// Records that something ran this much later than it could have.
    void record(kernel::duration late_by, kernel::time_point now);

    /// The present delay, by which admissions are decided.
    [[nodiscard]] kernel::duration present() const { return smoothed_; }

    /// Whether work that can wait should give way to requests and responses.
    [[nodiscard]] bool is_late() const { return smoothed_ > processor_time_slice; }

    /// The highest recent delay, which is reported to the other hosts. It falls slowly: otherwise a host that gets
    /// fewer callers because it is late would get all of them back as soon as that helps.
    [[nodiscard]] kernel::duration reported(kernel::time_point now) const;

private:
    kernel::duration smoothed_{};
    kernel::time_point updated_at_{};
    recent_peak peak_ms_;
};

/// Returns the fraction of its processor time that a host counts with, by the delay that it reports.
[[nodiscard]] double usable_fraction(kernel::duration reported_delay);

} // namespace wisterialane::proxy
