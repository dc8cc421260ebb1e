#include "libraries/peers/peer_client.h"
#include "libraries/peers/peers_events.h"
#include "tests/peers/peer_fleet.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace wisterialane::services {
namespace {

using std::chrono::milliseconds;

/// What the threads of a fleet write and a test reads. Shared, because the hosts run until after the test's own
/// variables are gone.
template <class T>
struct guarded {
    std::mutex mutex;
    T value;
};

bool holds(const peer_host& item, kernel::version_number version)
{
    return item.configuration.version().value() >= version.value();
}

// Guards against a record that stops at some host, and against listeners that miss or repeat a version.
TEST_CASE_FIXTURE(peer_fleet, "peer services: record published: reaches all hosts, is accepted and settles")
{
    const auto heard = std::make_shared<guarded<std::vector<std::uint64_t>>>();
    add_host("first").configuration.add_listener([heard](const configuration::configuration_set& set) {
        const std::lock_guard lock{heard->mutex};
        heard->value.push_back(set.version().value());
    });
    hosts_.front()->start();
    for (const auto* name : {"second", "third"}) {
        add_host(name).start();
    }
    REQUIRE(eventually([this] {
        return all([](const auto& item) { return item.configuration.current_roster().entries.size() == 3; });
    }));
    const auto version = publish("new-limit");
    CHECK(eventually([&] { return all([&](const auto& item) { return holds(item, version) && item.is_fresh(); }); }));
    CHECK(eventually([&] {
        return all([&](const auto& item) {
            const auto progress = item.configuration.progress_of(version, clock_());
            return progress.state == configuration::version_state::accepted && progress.holders == 3;
        });
    }));
    CHECK(eventually([&] {
        return all(
            [&](const auto& item) { return item.configuration.settled_version(clock_()).value() >= version.value(); });
    }));
    const std::lock_guard lock{heard->mutex};
    for (std::size_t index = 0; index < heard->value.size(); ++index) {
        CHECK(heard->value[index] == index + 1);
    }
}

// Guards against a host that depends on its own way to the platform.
TEST_CASE_FIXTURE(peer_fleet, "peer services: one host without platform: gets versions and observations from peers")
{
    start_fleet(3);
    hosts_.back()->gate.cut();
    const auto version = publish("new-limit");
    CHECK(eventually([&] { return holds(*hosts_.back(), version); }));
    // What it observed itself is too old from here on.
    advance_clock(milliseconds{10000});
    CHECK(eventually([&] { return hosts_.back()->is_fresh(); }));
}

// Guards against an outage of the platform that stops the fleet.
TEST_CASE_FIXTURE(peer_fleet, "peer services: platform away: fresh while the peers are heard, stale when cut off")
{
    start_fleet(3);
    platform_.set_availability(stand_ins::availability::away);
    advance_clock(milliseconds{10000});
    CHECK(eventually([this] { return all([](const auto& item) { return item.is_fresh(); }); }));
    hosts_[1]->stop();
    hosts_[2]->stop();
    CHECK_FALSE(hosts_[1]->is_fresh());
    advance_clock(milliseconds{4001});
    CHECK_FALSE(hosts_[0]->is_fresh());
    CHECK(hosts_[0]->configuration.live_hosts(clock_()).size() == 1);
}

// Guards against restarted hosts that cannot come back during an outage of the platform.
TEST_CASE_FIXTURE(peer_fleet, "peer services: new instance while the platform is away: starts from its peers")
{
    start_fleet(3);
    const auto version = publish("new-limit");
    REQUIRE(eventually([&] { return all([&](const auto& item) { return holds(item, version); }); }));
    platform_.set_availability(stand_ins::availability::away);
    auto& fresh_host = add_host("new");
    fresh_host.start();
    CHECK(eventually([&] { return holds(fresh_host, version); }));
    advance_clock(milliseconds{10000});
    CHECK(eventually([&] { return fresh_host.is_fresh(); }));
    CHECK(fresh_host.configuration.current_roster().find(fresh_host.entry.instance) == nullptr);
}

// Guards against a fleet that accepts nothing any more after all of its instances were replaced at once.
TEST_CASE_FIXTURE(peer_fleet, "peer services: all hosts restarted at their addresses: versions are accepted again")
{
    start_fleet(3);
    std::vector<kernel::socket_address> addresses;
    for (const auto& item : hosts_) {
        addresses.push_back(item->entry.peer_address);
    }
    hosts_.clear();
    for (const auto& address : addresses) {
        add_host("restarted", address).start();
    }
    CHECK(eventually([this] { return is_settled(3); }));
}

// Guards against a host that cannot start from peers which do not keep the old records any more.
TEST_CASE_FIXTURE(peer_fleet, "peer services: old records not kept: starts from a peer's snapshot")
{
    configuration::log_store log{platform_, platform_};
    configuration::configuration_set set;
    for (int number = 1; number <= 3; ++number) {
        const auto next =
            configuration::make_record(set.version(), set.hash(), kernel::proposal_id{std::to_string(number)},
                                       kernel::operator_name{"operator"}, {}, std::nullopt);
        REQUIRE(log.append(next));
        REQUIRE(set.apply(next));
    }
    REQUIRE(log.store_snapshot(set));
    add_host("first").start();
    REQUIRE(eventually([this] { return hosts_[0]->configuration.version().value() >= 4; }));
    add_host("second").gate.cut();
    hosts_[1]->start();
    CHECK(eventually([this] { return hosts_[1]->configuration.version().value() >= 4; }));
    CHECK(eventually([this] { return hosts_[1]->is_fresh(); }));
}

// Guards against strangers that make instances look departed or put records into hosts.
TEST_CASE_FIXTURE(peer_fleet, "peer services: stranger's envelope: is counted and has no effect")
{
    start_fleet(2);
    const auto& target = *hosts_[0];
    peers::traffic_counters counters;
    const peers::envelope_codec codec{peers::fleet_secret{"guessed"}, hosts_[1]->entry.instance};
    peers::peer_client stranger{codec, counters};
    const auto response =
        stranger.call(target.entry.peer_address, peers::pull_request{{}, peers::host_state::departed, {}});
    REQUIRE_FALSE(response);
    CHECK(response.error().is(peers::peers_event::request_refused));
    CHECK(target.peers.traffic().envelopes_dropped == 1);
    CHECK(target.configuration.state_of(hosts_[1]->entry.instance) == peers::host_state::serving);
}

// Guards against evidence, loans and draining that do not reach the other hosts' services.
TEST_CASE_FIXTURE(peer_fleet, "peer services: hooks: carry evidence, loans and draining")
{
    const auto reporters = std::make_shared<guarded<std::set<std::string>>>();
    auto& first = add_host("first");
    auto& second = add_host("second");
    second.peers.set_evidence_source([&second] {
        health::evidence_report report;
        report.reporter = second.entry.instance;
        return report;
    });
    first.peers.set_evidence_sink([reporters](const health::evidence_report& report, kernel::time_point) {
        const std::lock_guard lock{reporters->mutex};
        reporters->value.insert(report.reporter.value());
    });
    second.peers.set_loan_handler([](const kernel::instance_id&, const std::vector<limits::loan_request>& requests) {
        return std::vector<limits::loan>{{requests.at(0).customer, requests.at(0).sequence, {3, 4}}};
    });
    first.start();
    second.start();
    CHECK(eventually([&] {
        const std::lock_guard lock{reporters->mutex};
        return reporters->value == std::set<std::string>{second.entry.instance.value()};
    }));
    const auto loans = first.peers.request_loans(second.entry, {{kernel::customer_name{"c"}, {}, 5, {9, 9}}});
    REQUIRE(loans);
    CHECK(loans->at(0).sequence == 5);
    CHECK(loans->at(0).granted == limits::capacity{3, 4});
    REQUIRE(eventually([&] { return first.configuration.live_hosts(clock_()).size() == 2; }));
    second.peers.begin_draining();
    CHECK(eventually([&] { return first.peers.is_draining(second.entry.instance); }));
    CHECK(eventually([&] { return first.configuration.live_hosts(clock_()).size() == 1; }));
    CHECK(eventually([&] { return first.configuration.current_roster().entries.size() == 1; }));
}

} // namespace
} // namespace wisterialane::services
