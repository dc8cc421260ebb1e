#pragma once

#include "kernel/failure.h"
#include "libraries/proxy/host_record.h"
#include "libraries/proxy/placement/evacuations.h"
#include "libraries/proxy/store/store_position.h"
#include "libraries/proxy/store_clock.h"
#include "libraries/proxy/traffic_configuration.h"
#include "libraries/proxy/upstream_record.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wisterialane::proxy {

/// The time and revision for which a response of the store is valid.
struct response_metadata {
    /// When this process sent the call, on its own clock.
    kernel::time_point sent_at;
    /// The time on the store's clock when it responded.
    store_time store_now{};
    store_revision revision;
    /// Era of the store that responded.
    store_era era{};
};

struct configuration_reading {
    response_metadata metadata;
    /// Empty if no configuration has been published, or none after the requested revision.
    std::optional<traffic_configuration> configuration;
    /// Why the newest configuration cannot be read, if it was published after the requested revision. It may revoke
    /// what the version in force allows.
    std::optional<kernel::failure> unreadable = std::nullopt;
    /// All evacuations in a complete reading; otherwise those that began or ended after the requested revision, in
    /// order.
    std::vector<evacuation_row> evacuations = {};
    /// The document of `configuration` as the store holds it, for the other hosts of the data centre; may be null.
    std::shared_ptr<const std::string> document = nullptr;
};

struct upstreams_reading {
    response_metadata metadata;
    /// All upstreams, or those that were added or changed after the requested revision.
    std::vector<upstream_record> present;
    /// Upstreams that were removed after the requested revision; empty in a complete list.
    std::vector<kernel::upstream_name> removed;
    /// Keys of the entries that cannot be decoded.
    std::vector<std::string> unreadable_keys;
};

struct hosts_reading {
    response_metadata metadata;
    std::vector<host_record> hosts;
};

/// Client of the store that operators, upstreams and hosts write to. Calls do not block; handlers run on the proxy's
/// thread. Failures: `store_unreachable` (the call may have been executed), `store_refused` (it was not executed),
/// `store_history_lost` (a full read is required), `unreadable_document`.
class store_client {
public:
    template <class T>
    using handler = std::function<void(kernel::result<T>)>;

    store_client() = default;
    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;
    virtual ~store_client() = default;

    virtual void read_configuration(handler<configuration_reading> done) = 0;

    /// Completes at the first change after revision `after`, or without a change after `timeout`.
    virtual void await_configuration(store_revision after, std::chrono::milliseconds timeout,
                                     handler<configuration_reading> done) = 0;

    virtual void read_upstreams(handler<upstreams_reading> done) = 0;

    /// Completes with the changes after revision `after`, at the first change or after `timeout`.
    virtual void await_upstream_changes(store_revision after, std::chrono::milliseconds timeout,
                                        handler<upstreams_reading> done) = 0;

    virtual void read_hosts(handler<hosts_reading> done) = 0;

    virtual void register_host(const host_record& record, handler<response_metadata> done) = 0;

    /// Discards the pending calls for the configuration without completing them. Later ones use a new connection.
    virtual void cancel_configuration_calls() = 0;

    /// Discards the pending calls for the upstreams without completing them. Later ones use a new connection.
    virtual void cancel_upstream_calls() = 0;

    /// Cancels all calls.
    virtual void stop() = 0;
};

} // namespace wisterialane::proxy
