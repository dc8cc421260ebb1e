#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/customer_quota.h"
#include "libraries/proxy/host_record.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace wisterialane::proxy {

/// What a host says of itself.
struct host_state {
    kernel::instance_id instance;
    /// Holds a fresh configuration and takes requests.
    bool ready = false;
    /// Reads the store, or could.
    bool reaches_store = false;
    /// Part of its processor share that it uses, 0 to 1 and above.
    double load = 0;
    admitted_counts admitted;
};

/// The other hosts of the fleet, and which hosts callers should use.
///
/// In each data centre the first few ready hosts, in an order that all hosts compute alike, take the callers: fewer
/// hosts see more of each upstream and share their connections better. Hosts with the most processor time come first,
/// and there are as many as carry the load. The others stand by.
class peer_directory {
public:
    struct options {
        host_record self;
        /// Hosts of one data centre that callers are sent to at least.
        std::size_t hosts_per_data_centre = 1;
        /// A host that is silent for longer is not offered to callers.
        kernel::duration silence = std::chrono::milliseconds{2500};
    };

    struct peer {
        host_record record;
        host_state state;
        std::optional<kernel::time_point> heard;
    };

    /// What one message has changed.
    struct state_change {
        /// The host was silent or unknown before.
        bool was_silent = false;
        /// Its process is another one than before, or the first that is heard.
        bool new_process = false;
        /// Requests that it has admitted since its last message.
        admitted_counts newly_admitted;
    };

    explicit peer_directory(options use) : use_{std::move(use)} {}

    /// A host that the store lists.
    void add(const host_record& record);

    /// A message of another host.
    state_change record_state(const host_record& record, const host_state& state, kernel::time_point now);

    void set_load(double load) { load_ = load; }

    /// Processor time, in cores, that the callers of each data centre are expected to need at least. Callers keep
    /// addresses for seconds, so the right number of hosts must be known before their requests can be counted.
    void set_expected_demand(double cores) { expected_demand_ = cores; }

    /// Whether this host takes requests; a host that does not is not offered.
    void set_ready(bool ready) { ready_ = ready; }

    /// Whether this host's calls to the store succeed.
    void set_reaches_store(bool reaches) { reaches_store_ = reaches; }

    /// Whether this host reads the store for its data centre: it is the first, in an order that all hosts compute
    /// alike, of the live hosts that reach the store.
    [[nodiscard]] bool is_store_reader(kernel::time_point now) const;

    /// The peers of this data centre.
    [[nodiscard]] std::vector<kernel::socket_address> data_centre_peer_addresses() const;

    /// Addresses for callers of a data centre: its own hosts, or those of others if none there is ready.
    [[nodiscard]] std::vector<kernel::socket_address> caller_addresses_for(const kernel::data_centre_name& data_centre,
                                                                           kernel::time_point now) const;

    /// Whether callers are sent to this host.
    [[nodiscard]] bool is_active(kernel::time_point now) const;

    /// Hosts that callers are sent to, over all data centres, when enough of the known hosts live. A host that begins
    /// to take callers has not heard those of other data centres yet, so this does not depend on who is heard.
    [[nodiscard]] std::size_t expected_active_hosts(kernel::time_point now) const;

    /// Whether a host that took requests a moment ago is silent now.
    [[nodiscard]] bool has_newly_silent_peer(kernel::time_point now) const;

    /// The peers that should hear of this host: all of its data centre, and in others those that take callers.
    [[nodiscard]] std::vector<kernel::socket_address> recipient_addresses(kernel::time_point now) const;

    /// All peers.
    [[nodiscard]] std::vector<kernel::socket_address> all_peer_addresses() const;

    /// All data centres of which a host is known.
    [[nodiscard]] std::vector<kernel::data_centre_name> data_centres() const;

    [[nodiscard]] const std::map<kernel::host_name, peer>& peers() const { return peers_; }

private:
    [[nodiscard]] bool is_live(const peer& item, kernel::time_point now) const;
    [[nodiscard]] double demand_in(const kernel::data_centre_name& data_centre, kernel::time_point now) const;
    [[nodiscard]] std::size_t count_needed(const std::vector<const host_record*>& ranked,
                                           const kernel::data_centre_name& data_centre, kernel::time_point now) const;
    [[nodiscard]] std::vector<const host_record*> offered_in(const kernel::data_centre_name& data_centre,
                                                             kernel::time_point now) const;
    options use_;
    bool ready_ = false;
    double load_ = 0;
    double expected_demand_ = 0;
    bool reaches_store_ = false;
    std::map<kernel::host_name, peer> peers_;
};

} // namespace wisterialane::proxy
