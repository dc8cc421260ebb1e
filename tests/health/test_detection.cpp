#include "tests/health/fleet_replay.h"

#include <algorithm>
#include <set>
#include <string>

#include <doctest/doctest.h>

namespace wisterialane::health::replay {
namespace {

using namespace std::chrono_literals;

// The cases with `may_fail` are in KNOWN-RED.txt.
constexpr kernel::duration trouble_from = 5s;

std::string describe(const std::vector<ejection_seen>& ejections)
{
    std::string text;
    for (const auto& item : ejections) {
        text += item.upstream.value() + " at host " + std::to_string(item.host) + " after " +
                std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(item.at).count()) + " ms; ";
    }
    return text;
}

// 12 hosts and one service of 8 upstreams, so that each case takes about a second.
class detection_fixture {
protected:
    detection_fixture()
    {
        settings_.hosts = 12;
        settings_.service_sizes = {8};
        settings_.seed = 7;
    }

    fleet_replay& make_fleet()
    {
        fleet_.emplace(settings_, [this](unsigned host, std::uint64_t seed) {
            return make_shared_evidence_host(settings_, host, seed);
        });
        return *fleet_;
    }

    // Makes upstream 3 grey and returns how many hosts eject it within `limit`.
    std::size_t hosts_that_eject(const upstream_fault& fault, kernel::duration limit)
    {
        auto& fleet = make_fleet();
        fleet.faults = [fault](unsigned, unsigned index, kernel::duration at) {
            return at >= trouble_from && index == 3 ? fault : upstream_fault{};
        };
        fleet.run_until(trouble_from + limit);
        std::set<unsigned> hosts;
        for (const auto& ejection : fleet.ejections()) {
            CHECK(ejection.upstream == fleet_replay::name_of(0, 3));
            CHECK(ejection.at >= trouble_from);
            hosts.insert(ejection.host);
        }
        return hosts.size();
    }

    replay_settings settings_;
    std::optional<fleet_replay> fleet_;
};

// Guards against an upstream that answers every request, but late or wrongly, and stays in use.
TEST_CASE_FIXTURE(detection_fixture, "fleet: upstream turns 10 times slower: most hosts eject it within 3 s, no other")
{
    CHECK(hosts_that_eject({10, 0, false}, 3s) >= 10);
}

TEST_CASE_FIXTURE(detection_fixture, "fleet: upstream answers 30 % wrongly: most hosts eject it within 3 s, no other")
{
    CHECK(hosts_that_eject({1, 0.3, false}, 3s) >= 10);
}

// Guards against judging upstreams by requests that are slow by nature.
TEST_CASE_FIXTURE(detection_fixture, "fleet: slow route: ejects nothing" * doctest::may_fail())
{
    settings_.slow_route_every = 10;
    auto& fleet = make_fleet();
    fleet.run_until(15s);
    CHECK(describe(fleet.ejections()) == "");
}

// Guards against ejecting some upstreams for what happens to all of them.
TEST_CASE_FIXTURE(detection_fixture, "fleet: all upstreams slow for a while: ejects nothing" * doctest::may_fail())
{
    settings_.load = 0.15;
    auto& fleet = make_fleet();
    fleet.faults = [](unsigned, unsigned, kernel::duration at) {
        return upstream_fault{at >= trouble_from && at < 12s ? 5.0 : 1.0, 0, false};
    };
    fleet.run_until(15s);
    CHECK(describe(fleet.ejections()) == "");
}

// Guards against ejecting a restarted upstream for being cold.
TEST_CASE_FIXTURE(detection_fixture, "fleet: upstream restarts and is cold: ejects nothing")
{
    auto& fleet = make_fleet();
    fleet.faults = [](unsigned, unsigned index, kernel::duration at) {
        const bool is_down = index == 3 && at >= trouble_from && at < 7s;
        const bool is_cold = index == 3 && at >= 7s && at < 7500ms;
        return upstream_fault{is_cold ? 5.0 : 1.0, 0, is_down};
    };
    fleet.run_until(15s);
    CHECK(describe(fleet.ejections()) == "");
}

// Guards against one host's bad network making it, or others, eject a good upstream.
TEST_CASE_FIXTURE(detection_fixture, "fleet: one host with a bad link: ejects nothing")
{
    auto& fleet = make_fleet();
    fleet.lossy_links = [](unsigned host, unsigned, unsigned index, kernel::duration at) {
        return host == 2 && index == 3 && at >= trouble_from ? 0.8 : 0.0;
    };
    fleet.run_until(15s);
    CHECK(describe(fleet.ejections()) == "");
}

// Guards against a request that takes down one upstream after the other while it is sent again, and against blaming
// them.
TEST_CASE_FIXTURE(detection_fixture,
                  "fleet: crashing request: crashes a few upstreams, then is refused; ejects nothing" *
                      doctest::may_fail())
{
    auto& fleet = make_fleet();
    fleet.crash_times = {trouble_from};
    fleet.crash_repeats = 8;
    fleet.run_until(15s);
    CHECK(fleet.crashes() >= 2);
    CHECK(fleet.crashes() <= 6);
    CHECK(describe(fleet.ejections()) == "");
}

} // namespace
} // namespace wisterialane::health::replay
