#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/customer_quota.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace wisterialane::proxy {

/// Where a host is found.
struct host_record {
    kernel::host_name host;
    kernel::data_centre_name data_centre;
    /// For callers.
    kernel::socket_address caller_address;
    /// For messages of other hosts.
    kernel::socket_address peer_address;
};

/// What a host says of itself.
struct host_state {
    kernel::instance_id instance;
    /// Holds a fresh configuration and takes requests.
    bool ready = false;
    admitted_counts admitted;
};

/// The other hosts of the fleet, and which hosts callers should use.
///
/// In each data centre the first few ready hosts, in an order that all hosts compute alike, take the callers: fewer
/// hosts see more of each upstream and share their connections better. The others stand by.
class peer_directory {
public:
    struct options {
        host_record self;
        /// Hosts of one data centre that callers are sent to.
        std::size_t hosts_per_data_centre = 2;
        /// A host that is silent for longer is not offered to callers.
        kernel::duration silence = std::chrono::milliseconds{2500};
    };

    struct peer {
        host_record record;
        host_state state;
        std::optional<kernel::time_point> heard;
    };

    /// What one message has changed.
    struct news {
        /// The host was silent or unknown before.
        bool newly_heard = false;
        /// Requests that it has admitted since its last message.
        admitted_counts admitted;
    };

    explicit peer_directory(options use) : use_{std::move(use)} {}

    /// A host that the store lists.
    void add(const host_record& record);

    /// A message of another host.
    news hear(const host_record& record, const host_state& state, kernel::time_point now);

    /// Whether this host takes requests; a host that does not is not offered.
    void set_ready(bool ready) { ready_ = ready; }

    /// Addresses for callers of a data centre: its own hosts, or those of others if none there is ready.
    [[nodiscard]] std::vector<kernel::socket_address> addresses_for(const kernel::data_centre_name& data_centre,
                                                                    kernel::time_point now) const;

    /// Whether callers are sent to this host.
    [[nodiscard]] bool is_offered(kernel::time_point now) const;

    /// Hosts that callers are sent to, over all data centres, as far as they are heard.
    [[nodiscard]] std::size_t offered_count(kernel::time_point now) const;

    /// Whether a host that took requests a moment ago is silent now.
    [[nodiscard]] bool some_are_silent(kernel::time_point now) const;

    /// The peers that should hear of this host: all of its data centre, and in others those that take callers.
    [[nodiscard]] std::vector<kernel::socket_address> audience(kernel::time_point now) const;

    /// All peers.
    [[nodiscard]] std::vector<kernel::socket_address> everyone() const;

    [[nodiscard]] const std::map<kernel::host_name, peer>& peers() const { return peers_; }

private:
    [[nodiscard]] bool is_live(const peer& item, kernel::time_point now) const;
    [[nodiscard]] std::vector<const host_record*> offered_in(const kernel::data_centre_name& data_centre,
                                                             kernel::time_point now) const;
    [[nodiscard]] std::vector<kernel::data_centre_name> data_centres() const;

    options use_;
    bool ready_ = false;
    std::map<kernel::host_name, peer> peers_;
};

} // namespace wisterialane::proxy
