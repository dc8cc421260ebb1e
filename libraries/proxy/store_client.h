#pragma once

#include "kernel/failure.h"
#include "libraries/proxy/host_record.h"
#include "libraries/proxy/store_clock.h"
#include "libraries/proxy/traffic_configuration.h"
#include "libraries/proxy/upstream_record.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace wisterialane::proxy {

/// Position in the store's history of changes; rises with each.
using store_revision = kernel::strong_type<struct store_revision_tag, std::uint64_t>;

/// When an answer of the store was true.
struct answer_metadata {
    /// When this process sent the call.
    kernel::time_point sent_at;
    /// The store's clock at the answer.
    store_time store_now{};
    store_revision revision;
};

struct configuration_reading {
    answer_metadata metadata;
    /// Nothing if no configuration was published, or none since the revision that was asked for.
    std::optional<traffic_configuration> configuration;
};

struct upstreams_reading {
    answer_metadata metadata;
    std::vector<upstream_record> present;
    /// Entries that were removed, in answers about changes.
    std::vector<kernel::upstream_name> removed;
    /// Entries that no upstream can be read from.
    std::vector<std::string> unreadable_keys;
};

struct hosts_reading {
    answer_metadata metadata;
    std::vector<host_record> hosts;
};

/// The store that operators, upstreams and hosts write to, as the proxy sees it. Calls do not block; handlers run on
/// the proxy's thread. Failures: `store_unreachable` (the call may have had its effect), `store_refused` (it had
/// none), `store_history_lost` (read everything anew), `unreadable_document`.
class store_client {
public:
    template <class T>
    using handler = std::function<void(kernel::result<T>)>;

    store_client() = default;
    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;
    virtual ~store_client() = default;

    virtual void read_configuration(handler<configuration_reading> done) = 0;

    /// Answers at the first change after `after`, or without one after `wait`.
    virtual void await_configuration(store_revision after, std::chrono::milliseconds wait,
                                     handler<configuration_reading> done) = 0;

    virtual void read_upstreams(handler<upstreams_reading> done) = 0;

    /// Answers with what has changed after `after`, at the first change or after `wait`.
    virtual void await_upstream_changes(store_revision after, std::chrono::milliseconds wait,
                                        handler<upstreams_reading> done) = 0;

    virtual void read_hosts(handler<hosts_reading> done) = 0;

    virtual void register_host(const host_record& record, handler<answer_metadata> done) = 0;

    /// Drops all calls.
    virtual void stop() = 0;
};

} // namespace wisterialane::proxy
