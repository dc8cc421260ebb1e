#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/window_counter.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace wisterialane::proxy {

/// How a caller's request ended.
enum class request_result {
    served,
    unserved,
    /// The caller closed its connection before the answer.
    disconnected,
};

/// Requests of the last three seconds. Callers that left count as unserved.
struct result_counts {
    std::uint64_t served = 0;
    std::uint64_t unserved = 0;

    friend bool operator==(const result_counts&, const result_counts&) = default;
};

using service_counts = std::map<kernel::service_name, result_counts>;

/// What became of each service's requests, at this host and at the others as they report it.
///
/// Whether a service is short of good upstreams is a matter of all callers: a host whose own callers are served must
/// not keep sound upstreams without work while those of other hosts go unserved.
class service_results {
public:
    void record(const kernel::service_name& service, request_result result, kernel::time_point now);

    /// Another host's results, which replace those that it reported before.
    void record_remote(const kernel::host_name& from, service_counts counts, kernel::time_point now);

    /// Forgets the reports of hosts that have been silent. Called several times a second.
    void expire(kernel::time_point now);

    /// Results of this host.
    [[nodiscard]] result_counts local_counts(const kernel::service_name& service, kernel::time_point now) const;

    /// Results of this host to be reported to the others: of the services with most requests unserved, if there are
    /// many.
    [[nodiscard]] service_counts local_report(kernel::time_point now) const;

    /// Whether a part of the service's requests goes unserved that calls for every upstream that may be sound.
    [[nodiscard]] bool is_strained(const kernel::service_name& service, kernel::time_point now) const;

private:
    struct counters {
        window_counter served;
        window_counter unserved;
    };

    struct report_of_host {
        service_counts counts;
        kernel::time_point heard{};
    };

    void forget(const service_counts& counts);

    std::unordered_map<kernel::service_name, counters> here_;
    std::map<kernel::host_name, report_of_host> reports_;
    /// Sum of the reports.
    std::unordered_map<kernel::service_name, result_counts> elsewhere_;
};

} // namespace wisterialane::proxy
