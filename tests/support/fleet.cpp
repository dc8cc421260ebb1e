#include "tests/support/fleet.h"

#include "libraries/gateway/key_text.h"
#include "tests/support/loopback.h"
#include "tests/support/sample_configuration.h"

#include <atomic>
#include <csignal>
#include <thread>
#include <utility>

namespace wisterialane::test_support {
namespace {

using nlohmann::json;

constexpr unsigned first_fleet_port = 7000;
constexpr unsigned ports_per_fleet = 200;
constexpr unsigned caller_ports = 10;
constexpr unsigned operator_ports = 60;
constexpr unsigned peer_ports = 110;
constexpr unsigned upstream_ports = 160;
constexpr unsigned relay_ports = 170;
constexpr unsigned relay_control_ports = 180;
// Relays 0 to 8 stand before upstreams.
constexpr unsigned platform_relay = 9;
constexpr std::chrono::milliseconds poll_interval{20};
constexpr std::chrono::seconds call_timeout{10};

std::string operator_token(const std::string& name)
{
    return "token-of-" + name;
}

unsigned next_first_port()
{
    static std::atomic<unsigned> fleets{0};
    return first_fleet_port + ports_per_fleet * fleets++;
}

} // namespace

bool wait_until(const std::function<bool()>& holds, std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!holds()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

fleet::fleet(const fleet_options& options) : options_{options}, first_port_{next_first_port()}
{
    start_stand_in("platform", "platform_stand_in", {"--address", platform_address().value()});
    if (options_.relay_before_platform) {
        start_relay(platform_relay, platform_address());
    }
    for (unsigned index = 0; index < options_.upstreams; ++index) {
        start_stand_in("upstream-" + std::to_string(index), "upstream_stand_in",
                       {"--address", upstream_address(index).value(), "--slots", std::to_string(options_.slots),
                        "--service-time-ms", std::to_string(options_.service_time.count())});
        if (options_.relays_before_upstreams) {
            start_relay(index, upstream_address(index));
        }
    }
    hosts_.resize(options_.hosts);
    for (unsigned index = 0; index < options_.hosts; ++index) {
        start_host(index);
    }
}

void fleet::start_stand_in(const std::string& name, const std::string& program,
                           const std::vector<std::string>& arguments)
{
    stand_ins_.emplace_back(name, program, arguments);
    started_ = stand_ins_.back().wait_for_line("listening", event_limit).has_value() && started_;
}

void fleet::start_relay(unsigned relay, const kernel::socket_address& target)
{
    start_stand_in("relay-" + std::to_string(relay), "relay",
                   {relay_address(relay).value(), target.value(), relay_control_address(relay).value()});
}

kernel::socket_address fleet::address(unsigned port) const
{
    return loopback_address(static_cast<std::uint16_t>(first_port_ + port));
}

kernel::socket_address fleet::platform_address() const
{
    return address(0);
}

kernel::socket_address fleet::caller_address(unsigned host) const
{
    return address(caller_ports + host);
}

kernel::socket_address fleet::operator_address(unsigned host) const
{
    return address(operator_ports + host);
}

kernel::socket_address fleet::peer_address(unsigned host) const
{
    return address(peer_ports + host);
}

kernel::socket_address fleet::upstream_address(unsigned upstream) const
{
    return address(upstream_ports + upstream);
}

kernel::socket_address fleet::relay_address(unsigned relay) const
{
    return address(relay_ports + relay);
}

kernel::socket_address fleet::relay_control_address(unsigned relay) const
{
    return address(relay_control_ports + relay);
}

kernel::socket_address fleet::upstream_address_for_hosts(unsigned upstream) const
{
    return options_.relays_before_upstreams ? relay_address(upstream) : upstream_address(upstream);
}

kernel::socket_address fleet::platform_address_for_hosts() const
{
    return options_.relay_before_platform ? relay_address(platform_relay) : platform_address();
}

std::vector<std::string> fleet::host_arguments(unsigned host) const
{
    std::string seeds;
    for (unsigned other = 0; other < options_.hosts; ++other) {
        seeds += (seeds.empty() ? "" : ",") + peer_address(other).value();
    }
    const std::string operators = "anna:" + gateway::digest_of_key(operator_token("anna")) +
                                  ",binta:" + gateway::digest_of_key(operator_token("binta"));
    return {"--host-name",
            "host-" + std::to_string(host),
            "--data-centre",
            std::string{"dc-"} + static_cast<char>('a' + host % options_.data_centres),
            "--caller-address",
            caller_address(host).value(),
            "--operator-address",
            operator_address(host).value(),
            "--peer-address",
            peer_address(host).value(),
            "--platform-address",
            platform_address_for_hosts().value(),
            "--seed-peers",
            seeds,
            "--fleet-secret",
            "secret-of-the-test-fleet",
            "--operators",
            operators,
            "--caller-threads",
            "48",
            "--address-keep-ms",
            "1000",
            "--drain-ms",
            std::to_string(options_.drain.count()),
            "--caller-idle-timeout-ms",
            "1000"};
}

void fleet::start_host(unsigned host)
{
    hosts_[host].reset();
    hosts_[host].emplace("host-" + std::to_string(host) + "-" + std::to_string(starts_++), "wisterialane",
                         host_arguments(host));
    started_ = hosts_[host]->wait_for_line("listening", event_limit).has_value() && started_;
}

void fleet::kill_host(unsigned host)
{
    hosts_[host].reset();
}

std::optional<int> fleet::stop_host(unsigned host)
{
    hosts_[host]->send_signal(SIGTERM);
    const auto code = hosts_[host]->wait_for_exit(event_limit);
    hosts_[host].reset();
    return code;
}

kernel::result<http::buffered_response> fleet::send(const kernel::socket_address& address,
                                                    const caller_request& request)
{
    http::request_head head{request.method, request.target, {}};
    if (!request.key.empty()) {
        head.headers.add("Authorization", "Bearer " + request.key);
    }
    if (!request.request_id.empty()) {
        head.headers.add("Idempotency-Key", request.request_id);
    }
    return http::fetch(address, head, request.body, call_timeout);
}

kernel::result<http::buffered_response> fleet::send(unsigned host, const caller_request& request) const
{
    return send(caller_address(host), request);
}

kernel::result<http::buffered_response> fleet::call_operator(unsigned host, const std::string& operator_name,
                                                             const std::string& method, const std::string& target,
                                                             const std::string& body) const
{
    http::request_head head{method, target, {}};
    head.headers.add("Authorization", "Bearer " + operator_token(operator_name));
    return http::fetch(operator_address(host), head, body, call_timeout);
}

std::optional<std::uint64_t> fleet::publish(const json& changes)
{
    const auto proposed = call_operator(0, "anna", "POST", "/v1/proposals", json{{"changes", changes}}.dump());
    if (!proposed || proposed->head.status != 201) {
        return std::nullopt;
    }
    const std::string id = json::parse(proposed->body).at("id");
    const auto reviewed = call_operator(0, "binta", "POST", "/v1/proposals/" + id + "/review");
    if (!reviewed || reviewed->head.status != 200) {
        return std::nullopt;
    }
    return publish_proposal(id);
}

std::optional<std::uint64_t> fleet::publish_proposal(const std::string& id)
{
    const auto published = call_operator(0, "anna", "POST", "/v1/proposals/" + id + "/publish");
    if (!published || published->head.status != 200) {
        return std::nullopt;
    }
    const std::uint64_t version = json::parse(published->body).at("version");
    return wait_until_accepted(version) ? std::optional{version} : std::nullopt;
}

bool fleet::wait_until_accepted(std::uint64_t version)
{
    return wait_until([this, version] {
        const auto answer = call_operator(0, "anna", "GET", "/v1/versions/" + std::to_string(version));
        return answer && answer->head.status == 200 && json::parse(answer->body).at("state") == "accepted";
    });
}

bool fleet::publish_sample()
{
    std::vector<kernel::socket_address> upstreams;
    for (unsigned index = 0; index < options_.upstreams; ++index) {
        upstreams.push_back(upstream_address_for_hosts(index));
    }
    // Rates become usable once the version has settled, so an answered request shows that the host is ready.
    return publish(sample_changes(upstreams, options_.slots)).has_value() &&
           wait_until_all_answer({"GET", "/lookups/ready", depot_key(), "", ""}, 200) &&
           wait_until_all_answer({"GET", "/lookups/ready", trader_key(), "", ""}, 200);
}

bool fleet::wait_until_all_answer(const caller_request& request, int status)
{
    return wait_until([&] {
        for (unsigned index = 0; index < options_.hosts; ++index) {
            if (!hosts_[index]) {
                continue;
            }
            const auto answer = send(index, request);
            if (!answer || answer->head.status != status) {
                return false;
            }
        }
        return true;
    });
}

void fleet::control_upstream(unsigned upstream, const json& mode) const
{
    (void)http::fetch(upstream_address(upstream), {"POST", "/control/mode", {}}, mode.dump(), call_timeout);
}

void fleet::control_platform(const json& settings) const
{
    (void)http::fetch(platform_address(), {"PUT", "/control/settings", {}}, settings.dump(), call_timeout);
}

void fleet::list_upstream_as_leaving(unsigned upstream) const
{
    const auto name = "readings-" + std::to_string(upstream);
    const json entry{{"role", "upstream"},
                     {"state", "leaving"},
                     {"name", name},
                     {"data_centre", "dc-a"},
                     {"upstream_address", upstream_address_for_hosts(upstream).value()}};
    (void)http::fetch(platform_address(), {"PUT", "/control/upstreams/" + name, {}}, entry.dump(), call_timeout);
}

void fleet::control_relay(unsigned relay, const std::string& target) const
{
    (void)http::fetch(relay_control_address(relay), {"POST", target, {}}, "", call_timeout);
}

void fleet::cut_upstream(unsigned upstream, const std::string& direction) const
{
    control_relay(upstream, "/cut?direction=" + direction);
}

void fleet::restore_upstream(unsigned upstream) const
{
    control_relay(upstream, "/restore");
}

void fleet::cut_platform(const std::string& direction) const
{
    control_relay(platform_relay, "/cut?direction=" + direction);
}

void fleet::restore_platform() const
{
    control_relay(platform_relay, "/restore");
}

json fleet::requests_seen_by(unsigned upstream) const
{
    const auto answer = http::fetch(upstream_address(upstream), {"GET", "/control/requests", {}}, "", call_timeout);
    return answer ? json::parse(answer->body).at("requests") : json::array();
}

} // namespace wisterialane::test_support
