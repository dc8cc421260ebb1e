#include "libraries/proxy/peer_directory.h"
#include "tests/proxy/proxy_fixture.h"

#include <algorithm>

#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

host_record make_host(const std::string& name, const std::string& data_centre)
{
    return {kernel::host_name{name}, kernel::data_centre_name{data_centre}, kernel::socket_address{name + ":1"},
            kernel::socket_address{name + ":2"}};
}

/// Four hosts in one data centre and two in another, each with a directory of its own.
struct fleet_fixture {
    kernel::time_point now = test_start;
    std::vector<host_record> records;
    std::vector<peer_directory> hosts;
    std::vector<host_state> states;

    fleet_fixture()
    {
        for (const auto* name : {"h0", "h1", "h2", "h3"}) {
            records.push_back(make_host(name, "here"));
        }
        records.push_back(make_host("e0", "elsewhere"));
        records.push_back(make_host("e1", "elsewhere"));
        for (const auto& record : records) {
            hosts.emplace_back(peer_directory::options{record});
            states.push_back({kernel::instance_id{record.host.value()}, true, true, 0, {}});
        }
    }

    /// Delivers the state of every host to every other, except that of the hosts in `silent`.
    void exchange_states(const std::vector<std::size_t>& silent = {})
    {
        for (std::size_t to = 0; to < hosts.size(); ++to) {
            hosts[to].set_ready(states[to].ready);
            hosts[to].set_reaches_store(states[to].reaches_store);
            hosts[to].set_load(states[to].load);
            for (std::size_t from = 0; from < hosts.size(); ++from) {
                if (std::find(silent.begin(), silent.end(), from) == silent.end()) {
                    hosts[to].record_state(records[from], states[from], now);
                }
            }
        }
    }

    [[nodiscard]] std::vector<kernel::socket_address> addresses(std::size_t host) const
    {
        return hosts[host].caller_addresses_for(kernel::data_centre_name{"here"}, now);
    }
};

} // namespace

TEST_CASE_FIXTURE(fleet_fixture, "peer_directory: all hosts live: they agree on the active host")
{
    exchange_states();
    REQUIRE(addresses(0).size() == 1);
    for (std::size_t host = 1; host < hosts.size(); ++host) {
        CHECK(addresses(host) == addresses(0));
    }
    CHECK(hosts[0].expected_active_hosts(now) == 2);
}

// Guards against callers that get the address of a host that has failed.
TEST_CASE_FIXTURE(fleet_fixture, "peer_directory: the active host becomes silent: another becomes active")
{
    exchange_states();
    const auto before = addresses(0);
    std::size_t active = 0;
    while (records[active].caller_address != before[0]) {
        ++active;
    }
    now += seconds{3};
    exchange_states({active});
    const auto observer = (active + 1) % 4;
    REQUIRE(addresses(observer).size() == 1);
    CHECK(addresses(observer) != before);
    CHECK(hosts[observer].has_newly_silent_peer(now) == !states[active].admitted.empty());
}

// Guards against overloaded active hosts in a larger fleet that has standby hosts.
// Guards against callers of a data centre that stay with a host whose calls to the store fail: it relies on relays, and
// when they end it refuses requests with keys.
TEST_CASE_FIXTURE(fleet_fixture, "peer_directory: the active host does not reach the store: another becomes active")
{
    exchange_states();
    const auto before = addresses(0);
    REQUIRE(before.size() == 1);
    for (std::size_t index = 0; index < 4; ++index) {
        states[index].reaches_store = records[index].caller_address != before[0];
    }
    exchange_states();
    REQUIRE(addresses(0).size() == 1);
    CHECK(addresses(0) != before);
    CHECK(addresses(1) == addresses(0));
}

// Guards against an overload of the few hosts that still reach the store.
TEST_CASE_FIXTURE(fleet_fixture, "peer_directory: hosts that reach the store cannot carry the load: all are candidates")
{
    for (auto& state : states) {
        state.reaches_store = false;
        state.load = 0.5;
    }
    states[0].reaches_store = true;
    exchange_states();
    CHECK(addresses(0).size() > 1);
}

// Guards against small parts of the quota in all data centres when many weak hosts serve the callers of one of them.
TEST_CASE_FIXTURE(fleet_fixture, "peer_directory: one data centre has more active hosts: parts of the others stay")
{
    exchange_states();
    CHECK(hosts[0].quota_share_divisor(now) == 2);
    CHECK(hosts[4].quota_share_divisor(now) == 2);
    states[0].load = 0.8;
    exchange_states();
    CHECK(hosts[1].quota_share_divisor(now) == 6);
    CHECK(hosts[4].quota_share_divisor(now) == 2);
}

// Guards against a change of the active hosts in an outage of the store.
TEST_CASE_FIXTURE(fleet_fixture, "peer_directory: no host reaches the store: the active host stays")
{
    exchange_states();
    const auto before = addresses(0);
    for (auto& state : states) {
        state.reaches_store = false;
    }
    exchange_states();
    CHECK(addresses(0) == before);
}

TEST_CASE_FIXTURE(fleet_fixture, "peer_directory: overloaded active host: more hosts become active")
{
    states[0].load = 0.8;
    exchange_states();
    CHECK(addresses(1).size() == 3);
    CHECK(hosts[1].expected_active_hosts(now) == 4);
}

// Guards against a copy from every active host for each standby host (CONFIG and DRAIN, seen on hallowmere-gw-grown):
// with sixteen active hosts their links were full.
TEST_CASE_FIXTURE(fleet_fixture,
                  "peer_directory: many active hosts: two of them forward the reports of a host elsewhere")
{
    for (auto& state : states) {
        state.load = 0.9;
    }
    exchange_states();
    const auto forwarding = [this](std::size_t sender) {
        return std::count_if(hosts.begin(), hosts.begin() + 4,
                             [&](const auto& host) { return host.forwards_for(records[sender].host, now); });
    };
    CHECK(std::count_if(hosts.begin(), hosts.begin() + 4, [this](const auto& host) { return host.is_active(now); }) >
          2);
    CHECK(forwarding(4) == 2);
    CHECK(forwarding(5) == 2);
}

TEST_CASE_FIXTURE(fleet_fixture, "peer_directory: one active host: it alone forwards reports")
{
    exchange_states();
    for (std::size_t host = 0; host < 4; ++host) {
        CHECK(hosts[host].forwards_for(records[4].host, now) == hosts[host].is_active(now));
    }
}

TEST_CASE_FIXTURE(fleet_fixture,
                  "peer_directory: several hosts of a data centre reach the store: exactly one is its reader")
{
    exchange_states();
    const auto readers = [this] {
        return std::count_if(hosts.begin(), hosts.begin() + 4,
                             [this](const auto& host) { return host.is_store_reader(now); });
    };
    CHECK(readers() == 1);
    for (std::size_t host = 0; host < 4; ++host) {
        if (hosts[host].is_store_reader(now)) {
            states[host].reaches_store = false;
            break;
        }
    }
    exchange_states();
    CHECK(readers() == 1);
}

// Guards against admissions that are lost or counted twice when a message without counts arrives in between.
TEST_CASE_FIXTURE(fleet_fixture,
                  "peer_directory: message without counts between two with counts: reports the difference once")
{
    const kernel::customer_name customer{"c"};
    states[1].admitted[customer] = 5;
    hosts[0].record_state(records[1], states[1], now);
    auto without = states[1];
    without.admitted.clear();
    CHECK(hosts[0].record_state(records[1], without, now).newly_admitted.empty());
    states[1].admitted[customer] = 8;
    CHECK(hosts[0].record_state(records[1], states[1], now).newly_admitted.at(customer) == 3);
}

// Guards against a small active host that serves the callers of a whole data centre while larger hosts are on standby.
TEST_CASE_FIXTURE(fleet_fixture, "peer_directory: hosts differ in processor time: the largest is active")
{
    for (std::size_t host = 0; host < 4; ++host) {
        records[host].processor_cores = host == 2 ? 0.5 : 0.1;
    }
    hosts.clear();
    for (const auto& record : records) {
        hosts.emplace_back(peer_directory::options{record});
    }
    exchange_states();
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        CHECK(addresses(host) == std::vector{records[2].caller_address});
    }
}

// Guards against an overloaded first active host while its requests have not been counted yet.
TEST_CASE_FIXTURE(fleet_fixture, "peer_directory: expected demand before any request: enough hosts are active for it")
{
    exchange_states();
    hosts[0].set_expected_demand(0.5);
    CHECK(addresses(0).size() == 2);
    hosts[0].set_expected_demand(0);
    CHECK(addresses(0).size() == 1);
}

// Guards against a host that restarts quickly and receives no fill levels of its customers' quotas.
TEST_CASE_FIXTURE(fleet_fixture, "peer_directory: message of a host from another process: is reported as a new process")
{
    CHECK(hosts[0].record_state(records[1], states[1], now).new_process);
    CHECK_FALSE(hosts[0].record_state(records[1], states[1], now).new_process);
    states[1].instance = kernel::instance_id{"next"};
    const auto change = hosts[0].record_state(records[1], states[1], now);
    CHECK(change.new_process);
    CHECK_FALSE(change.was_silent);
}

// Guards against a data centre in which nobody, or everybody, keeps calling a store that is unavailable.
TEST_CASE_FIXTURE(fleet_fixture, "peer_directory: all hosts live: each has a place of its own in its data centre")
{
    exchange_states();
    std::vector<std::size_t> ranks;
    for (std::size_t host = 0; host < 4; ++host) {
        CHECK(hosts[host].position_in_data_centre(now).hosts == 4);
        ranks.push_back(hosts[host].position_in_data_centre(now).rank);
    }
    std::sort(ranks.begin(), ranks.end());
    CHECK(ranks == std::vector<std::size_t>{0, 1, 2, 3});
    now += seconds{3};
    CHECK(hosts[0].position_in_data_centre(now).rank == 0);
    CHECK(hosts[0].position_in_data_centre(now).hosts == 1);
}

} // namespace wisterialane::proxy
