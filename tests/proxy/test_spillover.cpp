#include "libraries/proxy/placement/spillover.h"
#include "tests/proxy/proxy_fixture.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <numbers>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

constexpr std::size_t data_centre_count = 3;
constexpr double slots_per_data_centre = 100;
/// Interval of the decisions and of the observations.
constexpr double step_seconds = 0.1;
/// Delay of the reports of other data centres.
constexpr milliseconds report_delay{1000};
/// The demand is counted over three seconds, so it shows the state of half of this time ago.
constexpr milliseconds count_delay{1500};

using profile = std::function<double(double second)>;

kernel::data_centre_name name_of(std::size_t index)
{
    return kernel::data_centre_name{std::string(1, static_cast<char>('a' + index))};
}

/// Three data centres of a hundred slots, each of which decides with what the others reported a second ago. Demand and
/// slots are functions of the time.
class spillover_replay {
public:
    struct observation {
        double second = 0;
        /// Load of each data centre, in slots: its own requests that stay, and those of the others.
        std::array<double, data_centre_count> load{};
        std::array<double, data_centre_count> leaving{};
        std::array<spillover_decision, data_centre_count> decisions;
    };

    std::array<profile, data_centre_count> demand{steady(0.5), steady(0.5), steady(0.5)};
    std::array<profile, data_centre_count> slots{steady(1), steady(1), steady(1)};
    /// When the last report of a data centre was sent, in seconds.
    std::array<double, data_centre_count> last_report{1e9, 1e9, 1e9};

    static profile steady(double fraction)
    {
        return [fraction](double) { return fraction; };
    }

    /// Observations of this many seconds; the data centres have run for ten seconds before.
    [[nodiscard]] std::vector<observation> run(double duration) const
    {
        std::vector<observation> observations;
        const auto steps = static_cast<int>(duration / step_seconds);
        observations.reserve(static_cast<std::size_t>(steps));
        for (int index = 0; index < steps; ++index) {
            observations.push_back(observe(index * step_seconds));
        }
        return observations;
    }

private:
    [[nodiscard]] std::vector<spillover_input> inputs_of(std::size_t local, double second) const
    {
        std::vector<spillover_input> inputs;
        for (std::size_t index = 0; index < data_centre_count; ++index) {
            const double delay = index == local ? 0 : std::chrono::duration<double>{report_delay}.count();
            const double reported = std::min(second - delay, last_report[index]);
            const double counted = reported - std::chrono::duration<double>{count_delay}.count();
            spillover_input input;
            input.data_centre = name_of(index);
            input.demand_slots = slots_per_data_centre * demand[index](counted);
            input.healthy_slots = slots_per_data_centre * slots[index](reported);
            input.reported_at = time_at(reported);
            inputs.push_back(input);
        }
        return inputs;
    }

    [[nodiscard]] observation observe(double second) const
    {
        observation seen;
        seen.second = second;
        for (std::size_t local = 0; local < data_centre_count; ++local) {
            auto& decision = seen.decisions[local];
            decision = decide_spillover(name_of(local), inputs_of(local, second), time_at(second));
            const double own = slots_per_data_centre * demand[local](second);
            seen.leaving[local] = decision.leaving();
            seen.load[local] += own * (1 - decision.leaving());
            for (std::size_t to = 0; to < data_centre_count; ++to) {
                const auto share = decision.shares.find(name_of(to));
                seen.load[to] += share == decision.shares.end() ? 0 : own * share->second;
            }
        }
        return seen;
    }

    [[nodiscard]] static kernel::time_point time_at(double second)
    {
        return test_start + std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double>{second});
    }
};

/// A balancer of the data centre `here` with reports of the data centre `there`.
struct placement_fixture : balancer_fixture {
    placement_fixture()
    {
        add_upstreams(2, "here");
        add_upstreams(2, "there");
    }

    /// Records what the data centre `there`, which has four slots, reports: slots in demand and waiting time.
    void report_there(double demand_slots, milliseconds waiting = milliseconds{0})
    {
        const kernel::host_name host{"host-there"};
        const auto demand_ms = static_cast<std::uint64_t>(demand_slots * 3000);
        results.record_remote(host, {{request.service, {0, 0, demand_ms}}}, now);
        balancer.spillover().record_report(host, kernel::data_centre_name{"there"}, {{request.service, {4, waiting}}},
                                           now);
    }

    /// Requests of this host keep so many slots in use.
    void add_local_demand(double slots)
    {
        results.record_demand(request.service,
                              std::chrono::duration_cast<kernel::duration>(slots * std::chrono::seconds{3}), now);
    }

    /// Sends a request and returns the data centre of its upstream, or nothing if it has to wait.
    std::string send()
    {
        const auto chosen = balancer.choose(request, now);
        if (!chosen) {
            CHECK(chosen.error() == selection_error::all_at_limit);
            return {};
        }
        (*chosen)->in_flight.insert(now);
        (*chosen)->last_request_at = now;
        return (*chosen)->record.data_centre.value();
    }

    /// Number of requests to `there` among so many that end at once.
    int count_leaving(int requests)
    {
        int leaving = 0;
        for (int index = 0; index < requests; ++index) {
            const auto chosen = balancer.choose(request, now);
            REQUIRE(chosen);
            leaving += (*chosen)->record.data_centre.value() == "there" ? 1 : 0;
        }
        return leaving;
    }
};

} // namespace

// Guards against traffic that stays where its upstreams are full, and against traffic that leaves without need.
TEST_CASE("spillover: burst in one data centre: only its excess leaves, and returns after it")
{
    spillover_replay replay;
    replay.demand[0] = [](double second) { return second >= 5 && second < 15 ? 1.4 : 0.6; };
    for (const auto& seen : replay.run(25)) {
        CAPTURE(seen.second);
        CHECK(seen.leaving[1] == 0);
        CHECK(seen.leaving[2] == 0);
        CHECK(seen.load[1] <= 71);
        CHECK(seen.load[2] <= 71);
        if (seen.second < 5 || seen.second > 18) {
            CHECK(seen.leaving[0] == 0);
        }
        if (seen.second > 8 && seen.second < 15) {
            CHECK(seen.load[0] <= 101);
        }
    }
}

// Guards against requests without an upstream while reports are awaited, and against traffic that stays away.
TEST_CASE("spillover: half of the local upstreams lost, then all: leaves at once and returns with them")
{
    spillover_replay replay;
    replay.demand[0] = spillover_replay::steady(0.6);
    replay.slots[0] = [](double second) { return second < 5 ? 1 : (second < 10 ? 0.5 : (second < 15 ? 0 : 1)); };
    for (const auto& seen : replay.run(20)) {
        CAPTURE(seen.second);
        CHECK(seen.load[1] <= (seen.second < 10 ? 71 : 91));
        CHECK(seen.load[2] <= (seen.second < 10 ? 71 : 91));
        if (seen.second < 5 || seen.second >= 15.05) {
            CHECK(seen.leaving[0] == 0);
        }
        if (seen.second >= 5.05 && seen.second < 10) {
            CHECK(seen.load[0] <= 36);
        }
        if (seen.second >= 10.05 && seen.second < 15) {
            CHECK(seen.leaving[0] == doctest::Approx(1));
        }
    }
}

// Guards against traffic that swings from one side to the other because reports are late, and against a data centre
// whose peak meets requests of the others.
TEST_CASE("spillover: waves that are shifted against each other: loads stay even and follow the waves")
{
    constexpr double period = 20;
    constexpr double duration = 120;
    spillover_replay replay;
    for (std::size_t index = 0; index < data_centre_count; ++index) {
        const double phase = 2 * std::numbers::pi * static_cast<double>(index) / data_centre_count;
        replay.demand[index] = [phase](double second) {
            return 0.6 * (1 + 0.55 * std::sin(2 * std::numbers::pi * second / period + phase));
        };
    }
    const auto observations = replay.run(duration);
    std::array<int, data_centre_count> begins{};
    for (std::size_t at = 1; at < observations.size(); ++at) {
        const auto& seen = observations[at];
        CAPTURE(seen.second);
        for (std::size_t index = 0; index < data_centre_count; ++index) {
            // Reports that are 2.5 s old miss a part of a wave, which rises by up to 0.1 of the slots a second.
            CHECK(seen.load[index] <= 95);
            begins[index] += seen.leaving[index] > 0 && observations[at - 1].leaving[index] == 0 ? 1 : 0;
            CHECK(std::abs(seen.leaving[index] - observations[at - 1].leaving[index]) <= 0.05);
        }
    }
    for (const auto count : begins) {
        CHECK(count <= duration / period + 1);
        CHECK(count >= duration / period - 1);
    }
}

// Guards against decisions on inputs that no longer hold.
TEST_CASE("spillover: reports of the others stop: after 2.5 s it is decided as without them")
{
    spillover_replay replay;
    replay.demand[0] = spillover_replay::steady(1.4);
    replay.last_report[1] = 5;
    replay.last_report[2] = 5;
    for (const auto& seen : replay.run(12)) {
        CAPTURE(seen.second);
        if (seen.second < 7.45) {
            // The others have room for 40 of 140 slots.
            CHECK(seen.leaving[0] == doctest::Approx(40.0 / 140));
        }
        if (seen.second > 7.55) {
            CHECK(seen.leaving[0] == 0);
            CHECK(seen.decisions[0].admits_overflow(name_of(1)));
            CHECK(seen.decisions[0].admits_overflow(name_of(2)));
        }
    }
}

// Guards against data centres that exchange requests although none of them has room.
TEST_CASE("spillover: all data centres full: none moves any traffic")
{
    spillover_replay replay;
    replay.demand = {spillover_replay::steady(1.3), spillover_replay::steady(1.1), spillover_replay::steady(0.95)};
    for (const auto& seen : replay.run(5)) {
        for (std::size_t index = 0; index < data_centre_count; ++index) {
            CHECK(seen.leaving[index] == 0);
            for (std::size_t other = 0; other < data_centre_count; ++other) {
                CHECK(seen.decisions[index].admits_overflow(name_of(other)) == (other == index));
            }
        }
    }
}

// Guards against traffic that works against an evacuation: the upstreams of that data centre take no requests.
TEST_CASE("spillover: a data centre is evacuated: its traffic leaves at once, and none goes there")
{
    spillover_replay replay;
    replay.slots[0] = [](double second) { return second < 5 ? 1 : 0; };
    replay.demand[1] = spillover_replay::steady(0.95);
    for (const auto& seen : replay.run(10)) {
        CAPTURE(seen.second);
        if (seen.second > 5.05) {
            CHECK(seen.leaving[0] == doctest::Approx(0.8));
            CHECK_FALSE(seen.decisions[0].shares.contains(name_of(1)));
        }
        if (seen.second > 6.05) {
            CHECK_FALSE(seen.decisions[1].shares.contains(name_of(0)));
            CHECK_FALSE(seen.decisions[2].admits_overflow(name_of(0)));
        }
    }
}

// Guards against a data centre that gets requests of others while its own wait.
TEST_CASE("spillover: requests wait in a data centre with free slots: takes none of the others")
{
    const auto at = test_start;
    const std::vector<spillover_input> inputs{{name_of(0), 120, 100, milliseconds{0}, at},
                                              {name_of(1), 20, 100, milliseconds{300}, at},
                                              {name_of(2), 60, 100, milliseconds{0}, at}};
    const auto decision = decide_spillover(name_of(0), inputs, at);
    CHECK_FALSE(decision.shares.contains(name_of(1)));
    CHECK_FALSE(decision.admits_overflow(name_of(1)));
    // 20 requests have no slot: 10 use the clear room of the third data centre, and 10 its tight room.
    CHECK(decision.leaving() == doctest::Approx(20.0 / 120));
}

TEST_CASE_FIXTURE(placement_fixture, "spillover: local upstreams have free slots: nothing leaves")
{
    report_there(0);
    add_local_demand(2);
    CHECK(count_leaving(100) == 0);
}

// Guards against requests that wait while another data centre has clear room.
TEST_CASE_FIXTURE(placement_fixture, "spillover: local slots full, room elsewhere: the next request leaves at once")
{
    report_there(0);
    for (int count = 0; count < 4; ++count) {
        CHECK(send() == "here");
    }
    CHECK(send() == "there");
}

// Guards against requests that are sent to a data centre that needs its slots itself.
TEST_CASE_FIXTURE(placement_fixture, "spillover: local slots full, others full as well: the next request waits here")
{
    report_there(6);
    add_local_demand(6);
    std::vector<std::string> sent(12);
    std::generate(sent.begin(), sent.end(), [this] { return send(); });
    CHECK(std::count(sent.begin(), sent.end(), "there") == 0);
    CHECK(std::count(sent.begin(), sent.end(), "here") >= 4);
    CHECK(sent.back().empty());
}

TEST_CASE_FIXTURE(placement_fixture, "spillover: demand above the local slots: its excess leaves, spread over requests")
{
    report_there(0);
    add_local_demand(4);
    // The excess above 0.7 of four slots is 1.2 of 4.
    const auto leaving = count_leaving(200);
    CHECK(leaving >= 58);
    CHECK(leaving <= 62);
}

// Guards against large requests that leave although small ones can.
TEST_CASE_FIXTURE(placement_fixture, "spillover: large and small requests: the small ones leave")
{
    report_there(0);
    add_local_demand(4);
    int large = 0;
    int small = 0;
    for (int index = 0; index < 200; ++index) {
        request.body_bytes = 1024 * 1024;
        large += count_leaving(1);
        request.body_bytes = 100;
        small += count_leaving(1);
    }
    CHECK(large == 0);
    CHECK(small >= 115);
    // Without small ones the large ones leave in the same number.
    request.body_bytes = 1024 * 1024;
    CHECK(count_leaving(200) >= 55);
}

// Guards against requests without any upstream: the other data centre needs its slots, but there is no other.
TEST_CASE_FIXTURE(placement_fixture, "spillover: no local upstream takes requests: they leave as without a decision")
{
    report_there(6);
    directory.mark_draining(kernel::upstream_name{"here0"}, leaving_source::response);
    directory.mark_draining(kernel::upstream_name{"here1"}, leaving_source::response);
    CHECK(send() == "there");
}

// Guards against a retry that waits for the upstreams that have already failed it.
TEST_CASE_FIXTURE(placement_fixture, "spillover: request was sent to all local upstreams: its retry leaves")
{
    report_there(6);
    add_local_demand(1);
    request.excluded = {kernel::upstream_name{"here0"}, kernel::upstream_name{"here1"}};
    CHECK(send() == "there");
}

TEST_CASE_FIXTURE(placement_fixture, "spillover: reports too old: overflow goes to the other data centre as before")
{
    report_there(6);
    add_local_demand(6);
    for (int count = 0; count < 4; ++count) {
        CHECK(send() == "here");
    }
    now += milliseconds{2600};
    results.expire(now);
    balancer.spillover().expire(now);
    CHECK(send() == "there");
}

TEST_CASE_FIXTURE(placement_fixture, "spillover: share begins, stays and ends: is noted twice")
{
    report_there(0);
    add_local_demand(4);
    static_cast<void>(balancer.choose(request, now));
    CHECK(balancer.spillover().take_changed(now).size() == 1);
    CHECK(balancer.spillover().take_changed(now + seconds{2}).empty());
    now += seconds{4};
    report_there(0);
    static_cast<void>(balancer.choose(request, now));
    CHECK(balancer.spillover().take_changed(now).size() == 1);
    const auto& plan = balancer.spillover().plans().at(request.service);
    CHECK(shares_text(plan.decision).empty());
    CHECK(inputs_text(plan.inputs, now).find("there=0.000000/4.000000") != std::string::npos);
}

} // namespace wisterialane::proxy
