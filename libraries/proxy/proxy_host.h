#pragma once

#include "kernel/failure.h"
#include "libraries/proxy/caller_listener.h"
#include "libraries/proxy/peer_channel.h"
#include "libraries/proxy/peer_directory.h"
#include "libraries/proxy/request_environment.h"
#include "libraries/proxy/store_client.h"
#include "libraries/proxy/store_watch.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wisterialane::proxy {

/// Settings that may change while the process runs.
struct reloadable_settings {
    retry_allowance retries;
    configuration_age_limits authority;
    /// Requests that a customer may get beyond its rate and burst in the operators' window.
    double tolerated_excess = 0;
    /// Time from the request to stop until the process is killed.
    kernel::duration stop_grace_period = std::chrono::seconds{6};
    /// Longest time that callers may keep an answer with addresses.
    std::chrono::milliseconds maximum_address_ttl{5000};
};

/// Settings of an event-driven host.
struct proxy_settings {
    host_record self;
    tcp::endpoint store_endpoint;
    tcp::endpoint caller_endpoint;
    tcp::endpoint readiness_endpoint;
    tcp::endpoint addresses_endpoint;
    tcp::endpoint peer_endpoint;
    /// The address that the host has on the network.
    boost::asio::ip::address bind_address;
    /// Port for metrics at that address; 0 for none.
    std::uint16_t metrics_port = 0;
    std::size_t hosts_per_data_centre = 1;
    wire_names names;
    /// The answer with addresses for callers, and how long they may keep it.
    std::function<std::string(const std::vector<kernel::socket_address>&, std::chrono::milliseconds)> render_addresses;
    reloadable_settings reloadable;
};

/// One host of the fleet: listens for callers, forwards their requests, follows the store and talks to its peers, all
/// on one thread.
class proxy_host {
public:
    proxy_host(io_context& context, proxy_settings settings, store_client& source, kernel::clock_source clock);

    /// Opens all listeners. Fails with `listen_failed`.
    kernel::result<void> start();

    /// Stops in order: callers are sent elsewhere, running requests end, then the context stops.
    void begin_stop();

    void reload(const reloadable_settings& settings);

    [[nodiscard]] request_environment& environment() { return environment_; }

private:
    void handle_request(const std::shared_ptr<caller_session>& session);
    void answer_readiness(const std::shared_ptr<caller_session>& session);
    void answer_addresses(const std::shared_ptr<caller_session>& session);
    void answer_metrics(const std::shared_ptr<caller_session>& session);
    kernel::result<void> listen(std::shared_ptr<caller_listener>& listener, const tcp::endpoint& address,
                                void (proxy_host::*handler)(const std::shared_ptr<caller_session>&));

    void refresh_gauges(kernel::time_point now);
    [[nodiscard]] bool apply(traffic_configuration configuration);
    void on_directory_change(const upstream_record& record, directory_change change);
    void on_peer_message(const kernel::result<peer_message>& received);

    void tell_levels(const host_record& started, kernel::time_point now);
    void register_self();
    void read_hosts();
    void tick();
    void report_services(kernel::time_point now);
    void update_readiness(kernel::time_point now);
    void update_fleet_size(kernel::time_point now);
    void update_expected_demand(kernel::time_point now);
    [[nodiscard]] double load(kernel::time_point now) const;
    [[nodiscard]] bool is_reader(kernel::time_point now) const;
    [[nodiscard]] bool is_settling(kernel::time_point now) const;
    void send_state(const std::vector<kernel::socket_address>& to);
    void send_evidence(const std::vector<kernel::socket_address>& to, std::vector<shared_evidence> evidence);
    void send_state_if_due(kernel::time_point now);
    void report_admissions();
    void send_relay(store_relay relay);
    [[nodiscard]] host_state own_state() const;
    void continue_stop();
    void give_up_requests(kernel::time_point now);
    void end(kernel::time_point now);
    void after(timer& pause, std::chrono::milliseconds time, void (proxy_host::*next)());

    io_context& context_;
    proxy_settings settings_;
    store_client& source_;
    request_environment environment_;
    peer_directory peers_;
    std::shared_ptr<store_watch> watch_;
    std::shared_ptr<peer_channel> channel_;
    std::shared_ptr<caller_listener> callers_;
    std::shared_ptr<caller_listener> readiness_;
    std::shared_ptr<caller_listener> addresses_;
    std::shared_ptr<caller_listener> metrics_;
    timer tick_pause_;
    timer hosts_pause_;
    timer stop_pause_;
    kernel::instance_id instance_;
    kernel::time_point started_at_{};
    kernel::time_point services_reported_at_{};
    kernel::time_point state_sent_at_{};
    bool ready_ = false;
    bool gave_up_ = false;
    bool offered_ = false;
    bool reader_ = false;
};

} // namespace wisterialane::proxy
