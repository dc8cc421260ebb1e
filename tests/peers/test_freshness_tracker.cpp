#include "libraries/peers/freshness_tracker.h"
#include "tests/peers/simulated_fleet.h"

#include <chrono>
#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace wisterialane::peers {
namespace {

using configuration::freshness;
using std::chrono::milliseconds;

kernel::time_point at(int ms)
{
    return kernel::time_point{std::chrono::hours{1} + milliseconds{ms}};
}

kernel::version_number version(std::uint64_t number)
{
    return kernel::version_number{number};
}

configuration::chain_hash hash_of(std::uint64_t number)
{
    return configuration::chain_hash{std::to_string(number)};
}

configuration::roster roster_of(const std::string& names)
{
    configuration::roster hosts;
    for (const char name : names) {
        configuration::roster_entry entry;
        entry.instance = kernel::instance_id{std::string{name}};
        entry.host = kernel::host_name{std::string{"host-"} + name};
        entry.peer_address = kernel::socket_address{std::string{"address-"} + name};
        hosts.entries.push_back(entry);
    }
    return hosts;
}

pull_response response_of(std::uint64_t number)
{
    pull_response response;
    response.version = version(number);
    response.hash = hash_of(number);
    return response;
}

class tracker_fixture {
protected:
    tracker_fixture() { advance(1, "abcde"); }

    void advance(std::uint64_t number, const std::string& names)
    {
        tracker_.advance(version(number), hash_of(number), roster_of(names), at(0));
    }

    void hear(const std::string& names, std::uint64_t number, int sent)
    {
        for (const char name : names) {
            tracker_.hear(kernel::instance_id{std::string{name}}, response_of(number), at(sent), at(sent));
        }
    }

    freshness_tracker tracker_{kernel::instance_id{"a"}};
};

// The property of 8.1 as a whole: guards against every interleaving in which a host acts on an old configuration.
TEST_CASE("freshness_tracker: any interleaving of faults: a fresh host holds what was accepted F before")
{
    simulation_coverage total;
    const bool holds = rc::check("a fresh host holds every version accepted before now - F", [&total] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto host_count = *rc::gen::inRange<std::size_t>(3, 8);
        simulated_fleet fleet{seed, host_count};
        const auto violation = fleet.run(60000);
        RC_LOG() << violation;
        RC_ASSERT(violation.empty());
        total.fresh_without_platform += fleet.coverage().fresh_without_platform;
        total.stale += fleet.coverage().stale;
        total.accepted_versions += fleet.coverage().accepted_versions;
        total.accepted_with_roster_change += fleet.coverage().accepted_with_roster_change;
    });
    CHECK(holds);
    MESSAGE("fresh without platform " << total.fresh_without_platform << ", stale " << total.stale << ", accepted "
                                      << total.accepted_versions << ", of these with another roster "
                                      << total.accepted_with_roster_change);
    CHECK(total.fresh_without_platform > 1000);
    CHECK(total.stale > 1000);
    CHECK(total.accepted_versions > 500);
    CHECK(total.accepted_with_roster_change > 100);
}

// Guards against an age that counts from the response's arrival, which makes old information look new.
TEST_CASE_FIXTURE(tracker_fixture, "freshness_tracker: late response: counts from the time of sending")
{
    auto response = response_of(1);
    response.observation = aged_observation{version(1), milliseconds{1000}};
    tracker_.hear(kernel::instance_id{"b"}, response, at(0), at(3500));
    CHECK(tracker_.freshness_at(at(3000)) == freshness::fresh);
    CHECK(tracker_.freshness_at(at(3001)) == freshness::stale);
}

// Guards against a fleet that stops when the platform is away, and against a minority that goes on.
TEST_CASE_FIXTURE(tracker_fixture, "freshness_tracker: no platform: fresh while more than 60 % are heard")
{
    hear("bc", 1, 0);
    CHECK(tracker_.freshness_at(at(100)) == freshness::stale);
    hear("d", 1, 50);
    CHECK(tracker_.freshness_at(at(100)) == freshness::fresh);
    CHECK(tracker_.freshness_at(at(4000)) == freshness::fresh);
    CHECK(tracker_.freshness_at(at(4001)) == freshness::stale);
}

// Guards against serving by a quorum although one of the others is known to hold a newer version.
TEST_CASE_FIXTURE(tracker_fixture, "freshness_tracker: a peer holds a newer version: stale until it is taken up")
{
    hear("bcd", 1, 0);
    hear("e", 2, 10);
    CHECK(tracker_.freshness_at(at(100)) == freshness::stale);
    advance(2, "abcde");
    CHECK(tracker_.freshness_at(at(100)) == freshness::fresh);
}

// Guards against a new roster that accepts versions by itself while the old one still serves without it.
TEST_CASE_FIXTURE(tracker_fixture, "freshness_tracker: roster change: needs quorums of the old and the new roster")
{
    hear("bcd", 1, 0);
    CHECK(tracker_.accepted() == version(1));
    advance(2, "avwxyz");
    advance(3, "avwxyz");
    hear("vwxyz", 3, 10);
    CHECK(tracker_.accepted() == version(1));
    hear("bcd", 3, 20);
    CHECK(tracker_.accepted() == version(3));
}

// Guards against a fleet that never accepts again after many of its hosts were restarted at once.
TEST_CASE_FIXTURE(tracker_fixture, "freshness_tracker: instances stopped for good: do not hold up acceptance")
{
    hear("bcd", 1, 0);
    tracker_.claim_address(kernel::socket_address{"address-b"}, at(0));
    advance(2, "axyz");
    hear("xyz", 2, 10);
    CHECK(tracker_.accepted() == version(1));
    tracker_.hear_request(kernel::instance_id{"c"}, version(1), host_state::departed, at(20));
    CHECK(tracker_.accepted() == version(1));
    auto relayed = response_of(2);
    relayed.held.push_back({kernel::instance_id{"d"}, version(1), std::nullopt, host_state::departed});
    tracker_.hear(kernel::instance_id{"x"}, relayed, at(30), at(30));
    CHECK(tracker_.accepted() == version(2));
    CHECK(tracker_.freshness_at(at(30)) == freshness::fresh);
    tracker_.enter_state(host_state::departed);
    CHECK(tracker_.freshness_at(at(30)) == freshness::stale);
}

// Guards against versions accepted by the rosters that a snapshot hides.
TEST_CASE("freshness_tracker: start from a snapshot: accepts only after a version as new is known as accepted")
{
    freshness_tracker tracker{kernel::instance_id{"a"}};
    tracker.start_at(version(5), hash_of(5), roster_of("abc"), at(0));
    tracker.hear(kernel::instance_id{"b"}, response_of(5), at(0), at(0));
    tracker.learn_accepted(version(4), at(0));
    CHECK(tracker.accepted() == version(4));
    tracker.advance(version(6), hash_of(6), roster_of("abc"), at(0));
    tracker.learn_accepted(version(5), at(0));
    tracker.hear(kernel::instance_id{"b"}, response_of(6), at(1), at(1));
    CHECK(tracker.accepted() == version(6));
}

// Guards against shares that grow before the last host of the old version has noticed.
TEST_CASE_FIXTURE(tracker_fixture, "freshness_tracker: accepted version: settles after F")
{
    hear("bcd", 1, 100);
    CHECK(tracker_.settled(at(4139)) == version(0));
    CHECK(tracker_.settled(at(4140)) == version(1));
}

// Guards against a stranger that the host list does not show and that counts as a holder.
TEST_CASE_FIXTURE(tracker_fixture, "freshness_tracker: not in the roster: counts for nothing")
{
    hear("uvwxyz", 1, 0);
    CHECK(tracker_.freshness_at(at(100)) == freshness::stale);
    CHECK(tracker_.progress_of(version(1)).holders == 1);
    CHECK(tracker_.progress_of(version(1)).lagging.size() == 4);
}

// Guards against a forked log: what such a host says must not count.
TEST_CASE_FIXTURE(tracker_fixture, "freshness_tracker: another hash of the same version: is not used")
{
    auto response = response_of(1);
    response.hash = hash_of(9);
    response.observation = aged_observation{version(1), milliseconds{0}};
    const auto outcome = tracker_.hear(kernel::instance_id{"b"}, response, at(0), at(0));
    CHECK(outcome == hear_outcome::conflicting);
    CHECK(tracker_.freshness_at(at(1)) == freshness::stale);
}

} // namespace
} // namespace wisterialane::peers
