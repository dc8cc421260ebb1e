#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/http/client_connection.h"
#include "tests/support/child_process.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace wisterialane::test_support {

/// Generous, because tests wait for events and the machine may be busy.
inline constexpr std::chrono::seconds event_limit{30};

struct fleet_options {
    unsigned hosts = 3;
    /// Hosts stand in the data centres dc-a, dc-b, ... in turn.
    unsigned data_centres = 2;
    unsigned upstreams = 4;
    unsigned slots = 4;
    std::chrono::milliseconds service_time{1};
    std::chrono::milliseconds drain{1500};
    /// Hosts reach each upstream through a relay that can cut one direction.
    bool relays_before_upstreams = false;
    /// Hosts reach the platform through a relay.
    bool relay_before_platform = false;
};

/// A request of a caller, with its answer in memory.
struct caller_request {
    std::string method = "GET";
    std::string target = "/lookups/1";
    std::string key;
    std::string request_id;
    std::string body;
};

/// A platform, upstreams and hosts as separate processes on this machine, ended when the object is destroyed.
class fleet {
public:
    explicit fleet(const fleet_options& options);

    /// Whether every process has started.
    [[nodiscard]] bool started() const { return started_; }

    /// Proposes as one operator, reviews as another, publishes, and waits until the version is accepted. The version,
    /// or nothing if a step failed.
    std::optional<std::uint64_t> publish(const nlohmann::json& changes);

    /// Publishes the sample configuration with this fleet's upstreams and waits until all hosts serve it.
    bool publish_sample();

    /// Waits until each running host answers the request with this status.
    bool wait_until_all_answer(const caller_request& request, int status);

    kernel::result<http::buffered_response> send(unsigned host, const caller_request& request) const;
    static kernel::result<http::buffered_response> send(const kernel::socket_address& address,
                                                        const caller_request& request);

    /// Calls the operator interface of a host as "anna" or "binta".
    kernel::result<http::buffered_response> call_operator(unsigned host, const std::string& operator_name,
                                                          const std::string& method, const std::string& target,
                                                          const std::string& body = "") const;

    /// Changes a stand-in's behaviour through its control interface.
    void control_upstream(unsigned upstream, const nlohmann::json& mode) const;
    void control_platform(const nlohmann::json& settings) const;

    /// Shows an upstream as leaving in the platform's host list.
    void list_upstream_as_leaving(unsigned upstream) const;

    /// Cuts a relay: `to_server`, `to_client` or `both`. Open connections stay open and go silent.
    void cut_upstream(unsigned upstream, const std::string& direction) const;
    void restore_upstream(unsigned upstream) const;
    void cut_platform(const std::string& direction) const;
    void restore_platform() const;

    /// The requests that an upstream saw, newest last, as its control interface tells.
    [[nodiscard]] nlohmann::json requests_seen_by(unsigned upstream) const;

    void start_host(unsigned host);
    void kill_host(unsigned host);

    /// Asks for a graceful stop and waits for its end; the exit code.
    std::optional<int> stop_host(unsigned host);

    [[nodiscard]] child_process& host(unsigned index) { return *hosts_[index]; }

    [[nodiscard]] unsigned host_count() const { return options_.hosts; }

    [[nodiscard]] kernel::socket_address caller_address(unsigned host) const;
    [[nodiscard]] kernel::socket_address operator_address(unsigned host) const;
    [[nodiscard]] kernel::socket_address upstream_address(unsigned upstream) const;
    [[nodiscard]] kernel::socket_address platform_address() const;

private:
    [[nodiscard]] kernel::socket_address peer_address(unsigned host) const;
    [[nodiscard]] kernel::socket_address relay_address(unsigned relay) const;
    [[nodiscard]] kernel::socket_address relay_control_address(unsigned relay) const;
    [[nodiscard]] kernel::socket_address upstream_address_for_hosts(unsigned upstream) const;
    [[nodiscard]] kernel::socket_address platform_address_for_hosts() const;
    void start_stand_in(const std::string& name, const std::string& program, const std::vector<std::string>& arguments);
    void start_relay(unsigned relay, const kernel::socket_address& target);
    void control_relay(unsigned relay, const std::string& target) const;
    [[nodiscard]] kernel::socket_address address(unsigned port) const;
    [[nodiscard]] std::vector<std::string> host_arguments(unsigned host) const;
    std::optional<std::uint64_t> publish_proposal(const std::string& id);
    bool wait_until_accepted(std::uint64_t version);

    fleet_options options_;
    unsigned first_port_;
    bool started_ = true;
    std::vector<child_process> stand_ins_;
    std::vector<std::optional<child_process>> hosts_;
    unsigned starts_ = 0;
};

/// Repeats a check until it holds or the limit is over.
bool wait_until(const std::function<bool()>& holds, std::chrono::milliseconds limit = event_limit);

} // namespace wisterialane::test_support
