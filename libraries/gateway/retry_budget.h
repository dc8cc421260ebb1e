#pragma once

namespace wisterialane::gateway {

/// Bounds retries to a share of the requests, so that retries cannot multiply the load of upstreams that are already
/// overloaded. Not thread-safe.
class retry_budget {
public:
    /// Adds the share of one request.
    void record_request();

    /// Whether a retry is within the budget; takes it from the budget if so.
    bool try_retry();

private:
    static constexpr double share_of_requests = 0.1;
    /// Allows a few retries after a quiet time, and bounds those of a sudden failure.
    static constexpr double maximum_saved = 10;

    double saved_ = maximum_saved;
};

} // namespace wisterialane::gateway
