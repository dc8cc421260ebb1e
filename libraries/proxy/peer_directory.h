#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/active_position.h"
#include "libraries/proxy/customer_quota.h"
#include "libraries/proxy/host_record.h"
#include "libraries/proxy/membership/recent_peak.h"
#include "libraries/proxy/store/outage_retry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace wisterialane::proxy {

/// What a host reports about itself to the other hosts.
struct host_state {
    kernel::instance_id instance;
    /// Whether it has a fresh configuration and serves requests.
    bool ready = false;
    /// Whether its calls to the store succeed.
    bool reaches_store = false;
    /// Processor time that it uses, as a fraction of `host_record::processor_cores`; above 1 when overloaded.
    double load = 0;
    admitted_counts admitted;
    /// Whether the process is in the first window after its start, so that it has admitted all of its requests
    /// recently.
    bool starting = false;
    /// How late its event loop was recently; zero if it reports none.
    kernel::duration delay{};
};

/// Tracks the other hosts of the fleet and selects the active hosts, whose addresses are given to callers.
///
/// In each data centre the ready hosts are ranked in an order that all hosts compute alike: by processor time, then by
/// a hash of the name. The first ones, as many as the load needs, are active; the others are standby hosts. With fewer
/// active hosts each of them observes more requests to each upstream and reuses more connections. The load that hosts
/// carried is remembered for a while when they fall silent, because their callers come to the other hosts. Hosts whose
/// event loop is late count with less processor time.
class peer_directory {
public:
    struct options {
        host_record self;
        /// Minimum number of active hosts in each data centre.
        std::size_t hosts_per_data_centre = 1;
        /// A host without messages for longer than this is silent and cannot be active.
        kernel::duration silence_timeout = std::chrono::milliseconds{2500};
    };

    struct peer {
        host_record record;
        host_state state;
        /// When its last message was received; empty before the first.
        std::optional<kernel::time_point> last_message_at;
        /// Decides the rank among hosts with equal processor time.
        std::uint64_t name_hash = 0;
    };

    /// What a received message changed.
    struct state_change {
        /// Whether the host was silent or unknown before the message.
        bool was_silent = false;
        /// Whether the process differs from that of the previous message, or this is the first message.
        bool new_process = false;
        /// Requests that the host has admitted since its previous message.
        admitted_counts newly_admitted;
    };

    explicit peer_directory(options initial_options) : options_{std::move(initial_options)} {}

    /// Adds a host that the store lists.
    void add(const host_record& record);

    /// Stores the state that a message of another host reports.
    state_change record_state(const host_record& record, const host_state& state, kernel::time_point now);

    void set_load(double load) { load_ = load; }

    /// Sets how late this host's event loop was recently.
    void set_delay(kernel::duration delay) { delay_ = delay; }

    /// Records the present demand of each data centre, so that it is remembered when hosts fall silent. Called several
    /// times per second.
    void remember_demand(kernel::time_point now);

    /// The remembered demand of this host's data centre, in cores.
    [[nodiscard]] double remembered_demand(kernel::time_point now) const;

    /// Sets the minimum processor time, in cores, that the callers of each data centre are expected to need. Callers
    /// cache addresses for seconds, so enough hosts must be active before the requests can be counted.
    void set_expected_demand(double cores) { expected_demand_ = cores; }

    /// Sets whether this host serves requests; only a ready host can be active.
    void set_ready(bool ready) { ready_ = ready; }

    /// Sets whether this host's calls to the store succeed.
    void set_reaches_store(bool reaches) { reaches_store_ = reaches; }

    /// Whether this host is the store reader of its data centre: the first, by rank, of the live hosts whose calls to
    /// the store succeed.
    [[nodiscard]] bool is_store_reader(kernel::time_point now) const;

    /// Whether the calls of another live host of this data centre to the store succeed.
    [[nodiscard]] bool is_store_reached_nearby(kernel::time_point now) const;

    /// This host's place among the live hosts of its data centre.
    [[nodiscard]] data_centre_position position_in_data_centre(kernel::time_point now) const;

    /// Peer addresses of the hosts to which this host passes on what a host of its data centre has begun to send. Empty
    /// if that host is not live.
    [[nodiscard]] std::vector<kernel::socket_address> forwarding_addresses(const kernel::host_name& source,
                                                                           kernel::time_point now) const;

    /// Whether this host is one of the two active hosts that forward what a host of another data centre reports to the
    /// hosts of this one. If all active hosts did, each standby host would receive a copy from each of them.
    [[nodiscard]] bool forwards_for(const kernel::host_name& sender, kernel::time_point now) const;

    /// Peer addresses of the other hosts in this data centre.
    [[nodiscard]] std::vector<kernel::socket_address> data_centre_peer_addresses() const;

    /// Addresses of the active hosts for callers of a data centre. If it has none: those of this host's data centre,
    /// then those of all, and at last this host alone.
    [[nodiscard]] std::vector<kernel::socket_address> caller_addresses_for(const kernel::data_centre_name& data_centre,
                                                                           kernel::time_point now) const;

    /// Whether this host is active.
    [[nodiscard]] bool is_active(kernel::time_point now) const;

    /// Number of active hosts in this host's data centre.
    [[nodiscard]] std::size_t active_host_count(kernel::time_point now) const;

    /// This host's place among the active hosts of all data centres; empty while it is on standby.
    [[nodiscard]] std::optional<active_position> position(kernel::time_point now) const;

    /// Number of active hosts in all data centres, or the number if all known hosts were live and ready, whichever is
    /// greater in each. Hosts without received messages count as well, because a host that has just become active has
    /// received none from other data centres yet.
    [[nodiscard]] std::size_t expected_active_hosts(kernel::time_point now) const;

    /// The part of a customer's quota that this host may use without reports of the others is one in this many: data
    /// centres get equal parts, and so do the active hosts of each. Callers choose among the hosts of their data
    /// centre, so many weak hosts in one data centre do not reduce the parts of the hosts in the others.
    [[nodiscard]] std::size_t quota_share_divisor(kernel::time_point now) const;

    /// Whether a ready host that had admitted requests has become silent recently.
    [[nodiscard]] bool has_newly_silent_peer(kernel::time_point now) const;

    /// Whether messages of at least half of the other known hosts of this data centre have been received.
    [[nodiscard]] bool hears_data_centre() const;

    /// Number of other live hosts that are in the first window after their start.
    [[nodiscard]] std::size_t starting_hosts(kernel::time_point now) const;

    /// Peer addresses of the hosts that receive this host's messages: all others in its data centre and the active ones
    /// in the other data centres.
    [[nodiscard]] std::vector<kernel::socket_address> recipient_addresses(kernel::time_point now) const;

    /// Peer addresses of all other hosts.
    [[nodiscard]] std::vector<kernel::socket_address> all_peer_addresses() const;

    /// All data centres with a known host.
    [[nodiscard]] std::vector<kernel::data_centre_name> data_centres() const;

    [[nodiscard]] const std::map<kernel::host_name, peer>& peers() const { return peers_; }

private:
    [[nodiscard]] bool is_live(const peer& remote, kernel::time_point now) const;
    [[nodiscard]] double measured_demand(const kernel::data_centre_name& data_centre, kernel::time_point now) const;
    [[nodiscard]] double demand_in(const kernel::data_centre_name& data_centre, kernel::time_point now) const;

    /// A host that may be active, with what its rank depends on.
    struct candidate {
        const host_record* record = nullptr;
        kernel::duration delay{};
        std::uint64_t name_hash = 0;
        /// Whether its own calls to the store succeed.
        bool reaches_store = false;
    };

    [[nodiscard]] candidate own_candidate() const;
    [[nodiscard]] std::size_t expected_active_hosts_in(const kernel::data_centre_name& data_centre,
                                                       kernel::time_point now) const;
    [[nodiscard]] static std::vector<candidate> prefer_store_path(std::vector<candidate> ready, double demand);
    [[nodiscard]] std::vector<const host_record*> select(std::vector<candidate> candidates,
                                                         const kernel::data_centre_name& data_centre,
                                                         kernel::time_point now) const;
    [[nodiscard]] std::vector<const host_record*> active_hosts_in(const kernel::data_centre_name& data_centre,
                                                                  kernel::time_point now) const;

    options options_;
    bool ready_ = false;
    double load_ = 0;
    kernel::duration delay_{};
    double expected_demand_ = 0;
    bool reaches_store_ = false;
    std::map<kernel::host_name, peer> peers_;
    std::map<kernel::data_centre_name, recent_peak> demands_;
};

} // namespace wisterialane::proxy
