#pragma once

#include "kernel/failure.h"
#include "libraries/proxy/caller_listener.h"
#include "libraries/proxy/membership/event_loop_monitor.h"
#include "libraries/proxy/membership/evidence_outbox.h"
#include "libraries/proxy/membership/evidence_receiver.h"
#include "libraries/proxy/membership/host_load.h"
#include "libraries/proxy/membership/membership_report.h"
#include "libraries/proxy/one_shot_timer.h"
#include "libraries/proxy/peer_channel.h"
#include "libraries/proxy/peer_directory.h"
#include "libraries/proxy/placement/evacuation_report.h"
#include "libraries/proxy/request_environment.h"
#include "libraries/proxy/store/document_assembly.h"
#include "libraries/proxy/store_client.h"
#include "libraries/proxy/store_watch.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wisterialane::proxy {

/// Settings that may change while the process runs.
struct reloadable_settings {
    retry_allowance retries;
    configuration_age_limits age_limits;
    /// Memory of the process, in bytes; the platform ends a process that exceeds it.
    std::size_t memory_limit_bytes = std::size_t{256} * 1024 * 1024;
    /// Limit on the requests of each customer, over all hosts.
    quota_bound quota;
    /// Time from the stop request until the process is killed.
    kernel::duration stop_grace_period = std::chrono::seconds{6};
    /// Bound of the requests to a cold upstream; empty if the platform has none.
    std::optional<cold_bounds> cold_upstreams;
    /// Longest time that callers may cache a response with addresses.
    std::chrono::milliseconds maximum_address_ttl{5000};
};

/// Settings of one host, read at its start.
struct proxy_settings {
    host_record self;
    tcp::endpoint store_endpoint;
    tcp::endpoint caller_endpoint;
    tcp::endpoint readiness_endpoint;
    tcp::endpoint addresses_endpoint;
    tcp::endpoint peer_endpoint;
    /// Network address of the host.
    boost::asio::ip::address bind_address;
    /// Port of the metrics listener on `bind_address`; 0 disables the listener.
    std::uint16_t metrics_port = 0;
    std::size_t hosts_per_data_centre = 1;
    wire_names names;
    /// Returns the body of a response with these addresses and the time that callers may cache them.
    std::function<std::string(const std::vector<kernel::socket_address>&, std::chrono::milliseconds)> render_addresses;
    /// Reads a configuration document that another host has read from the store. If it is empty, each host reads every
    /// version from the store.
    std::function<kernel::result<traffic_configuration>(std::string_view)> read_document;
    reloadable_settings reloadable;
    /// Whether the system may have admitted requests before this start, so that quotas begin with what is safe.
    bool safe_quota_start = false;
};

/// One host of the fleet: forwards the requests of callers to upstreams, watches the store, and exchanges messages with
/// the other hosts, all on one thread.
class proxy_host {
public:
    proxy_host(io_context& context, proxy_settings settings, store_client& store, kernel::clock_source clock);

    /// Opens all listeners. Fails with `listen_failed`.
    kernel::result<void> start();

    /// Begins a graceful stop: the host reports that it is not ready, completes its active requests, and then stops the
    /// context.
    void begin_stop();

    void reload(const reloadable_settings& settings);

    [[nodiscard]] request_environment& environment() { return environment_; }

    [[nodiscard]] const peer_directory& peers() const { return peers_; }

private:
    void handle_safely(const std::shared_ptr<caller_exchange>& exchange,
                       void (proxy_host::*handler)(const std::shared_ptr<caller_exchange>&));
    void handle_request(const std::shared_ptr<caller_exchange>& exchange);
    void begin_request(const std::shared_ptr<caller_exchange>& exchange);
    void refuse_for_memory(const std::shared_ptr<caller_exchange>& exchange);
    void handle_readiness_request(const std::shared_ptr<caller_exchange>& exchange);
    void handle_addresses_request(const std::shared_ptr<caller_exchange>& exchange);
    void handle_metrics_request(const std::shared_ptr<caller_exchange>& exchange);
    kernel::result<void> listen(std::shared_ptr<caller_listener>& listener, const tcp::endpoint& address,
                                void (proxy_host::*handler)(const std::shared_ptr<caller_exchange>&));

    /// Whether a caller's request may run more than once.
    [[nodiscard]] bool is_repeatable(const http_request& request) const;
    /// The limits of the version in force. For a while, callers may still rely on a longer idle timeout of the one
    /// before.
    [[nodiscard]] caller_limits current_limits(kernel::time_point now) const;
    void update_gauges(kernel::time_point now);
    void update_evacuation_gauges(kernel::time_point now);
    void apply(traffic_configuration configuration);
    void on_evacuations_changed();
    void report_evacuations(kernel::time_point now);
    [[nodiscard]] known_data_centres data_centres(kernel::time_point now) const;
    void on_directory_change(const upstream_record& record, directory_change change);
    /// How this host has learnt of the change.
    [[nodiscard]] std::string_view source_of(const kernel::upstream_name& id, directory_change change);
    void log_cold_change(const upstream_record& record, kernel::time_point now);
    void on_peer_message(const kernel::result<peer_message>& received);

    void send_levels(const host_record& recipient, kernel::time_point now);
    /// Reads the table of hosts, and registers this host only if the table lacks its row.
    void find_own_row();
    void register_self();
    void read_hosts();
    void add_hosts(const std::vector<host_record>& rows);
    void set_start_fleet(std::vector<host_record> rows);
    void tick();
    void report_services(kernel::time_point now);
    void report_shedding(kernel::time_point now);
    void report_spillover(kernel::time_point now);
    void update_waiting_times();
    [[nodiscard]] service_supplies own_supplies(kernel::time_point now);
    void update_readiness(kernel::time_point now);
    /// The least delay between calls to the store that fail repeatedly. While another host reaches the store, the delay
    /// is the usual one, because this host may miss its relays.
    [[nodiscard]] std::chrono::milliseconds store_retry_delay(kernel::time_point now) const;
    void update_fleet_size(kernel::time_point now);
    void update_start_knowledge(kernel::time_point now);
    void update_own_load(kernel::time_point now);
    [[nodiscard]] std::size_t name_index() const;
    void update_expected_demand(kernel::time_point now);
    [[nodiscard]] bool is_store_reader(kernel::time_point now) const;
    [[nodiscard]] bool is_discovering_peers(kernel::time_point now) const;
    void send_state(const std::vector<kernel::socket_address>& recipients);
    void send_evidence(const std::vector<kernel::socket_address>& recipients, std::vector<shared_evidence> evidence);
    void send_state_if_due(kernel::time_point now);
    void report_admissions();
    void send_relay(store_relay relay);
    /// Sends the parts of a document that this host has read, if it is the store reader.
    void send_document(kernel::version_number version, const std::string& document);
    void on_document_part(const document_part& part, kernel::time_point now);
    /// Sends a part to the hosts to which this one passes on what `part.source` has begun to send.
    void forward(const document_part& part, kernel::time_point now);
    [[nodiscard]] host_state own_state() const;
    void continue_stop();
    void expire_requests(kernel::time_point now);
    void finish_stop(kernel::time_point now);
    void give_way_if_late();
    void flush_later(one_shot_timer& delay_timer, evidence_outbox& outbox, kernel::duration delay);
    /// Shortest time between two messages with evidence.
    [[nodiscard]] kernel::duration evidence_interval() const;
    void schedule(one_shot_timer& delay_timer, std::chrono::milliseconds delay, void (proxy_host::*callback)());

    io_context& context_;
    proxy_settings settings_;
    store_client& store_;
    request_environment environment_;
    peer_directory peers_;
    evacuation_report evacuation_report_;
    /// Data centres that have been evacuated since the start; their gauges stay.
    std::set<kernel::data_centre_name> evacuated_before_;
    host_load load_;
    membership_report membership_report_;
    std::shared_ptr<event_loop_monitor> loop_monitor_;
    evidence_receiver evidence_receiver_;
    one_shot_timer own_evidence_timer_;
    one_shot_timer forwarded_evidence_timer_;
    evidence_outbox own_evidence_;
    /// Evidence of other data centres for the standby hosts of this one.
    evidence_outbox forwarded_evidence_;
    std::shared_ptr<store_watch> store_watch_;
    std::shared_ptr<peer_channel> peer_channel_;
    std::shared_ptr<caller_listener> caller_listener_;
    std::shared_ptr<caller_listener> readiness_listener_;
    std::shared_ptr<caller_listener> addresses_listener_;
    std::shared_ptr<caller_listener> metrics_listener_;
    one_shot_timer tick_timer_;
    one_shot_timer hosts_timer_;
    one_shot_timer stop_timer_;
    document_assembly document_assembly_;
    /// The newest version whose document this host has sent.
    kernel::version_number document_sent_;
    kernel::instance_id instance_;
    kernel::time_point started_at_{};
    /// Idle timeout of callers' connections before the version in force, and until when it is granted.
    std::chrono::milliseconds previous_idle_timeout_{0};
    kernel::time_point previous_idle_timeout_end_{};
    kernel::time_point services_reported_at_{};
    kernel::time_point state_sent_at_{};
    bool ready_ = false;
    bool requests_expired_ = false;
    bool active_ = false;
    bool store_reader_ = false;
};

} // namespace wisterialane::proxy
