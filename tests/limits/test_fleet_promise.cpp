#include "tests/limits/simulated_fleet.h"

#include <cstdint>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace wisterialane::limits {
namespace {

fleet_faults all_faults()
{
    return {.drop = 0.1,
            .duplicate = 0.2,
            .delay = 0.2,
            .freeze = 0.2,
            .replace = 0.1,
            .new_limit = 0.1,
            .learn_seconds = 6,
            .fastest_clock = 1.0099};
}

// Runs phases in which the requests move from host to host, so that capacity is lent and comes back.
void run_phases(simulated_fleet& fleet, std::uint32_t seed)
{
    std::mt19937 random{seed};
    for (auto phase = 0; phase < 10; ++phase) {
        std::vector<double> weights(16, 0.01);
        weights[random() % 6] = 1;
        weights[random() % weights.size()] = 1;
        fleet.run(5, phase % 3 == 2 ? 3 : 250, weights);
    }
}

// Guards against over-admission from loans: a lender that counts a loan from the wrong moment, a borrower that uses a
// loan too long or keeps its tokens, an answer that is used twice, and clocks of different rates.
TEST_CASE("fleet promise: lossy network, frozen hosts: admissions stay within rate and burst")
{
    CHECK(rc::check([](std::uint32_t seed) {
        auto faults = all_faults();
        faults.replace = 0;
        faults.new_limit = 0;
        simulated_fleet fleet{seed, 6, {40, 24}, faults};
        run_phases(fleet, seed);
        RC_ASSERT(fleet.admissions() > 100U);
        RC_ASSERT(fleet.worst_excess() == 0);
    }));
}

// Guards against a share that two hosts use at once while the roster or the limit changes, or after a restart.
TEST_CASE("fleet promise: changed limits and roster: admissions stay within rate and burst")
{
    CHECK(rc::check([](std::uint32_t seed) {
        simulated_fleet fleet{seed, 6, {40, 24}, all_faults()};
        run_phases(fleet, seed);
        RC_ASSERT(fleet.worst_excess() == 0);
    }));
}

// Guards against a refill by fast clocks that exceeds the rate as an exact clock measures it.
TEST_CASE("fleet promise: fast clocks, overload: admissions stay within rate and burst")
{
    simulated_fleet fleet{3, 6, {100, 24}, {.fastest_clock = 1.0099}};
    fleet.run(60, 600, {1, 1, 1, 1, 1, 1});
    CHECK(fleet.admissions() > 4500);
    CHECK(fleet.worst_excess() == 0);
}

// Guards against limits that hold only because hardly anything is admitted.
TEST_CASE("fleet promise: all requests on one host: a customer within its rate is served")
{
    for (std::size_t target = 0; target < 12; ++target) {
        simulated_fleet fleet{7, 12, {200, 100}, {}};
        std::vector<double> weights(12, 0);
        weights[target] = 1;
        fleet.run(15, 160, weights);
        const auto admitted = fleet.admissions();
        const auto refused = fleet.refusals();
        fleet.run(30, 160, weights);
        CAPTURE(target);
        CHECK(fleet.admissions() - admitted > 4000);
        CHECK(fleet.refusals() - refused <= 5);
        CHECK(fleet.worst_excess() == 0);
    }
}

} // namespace
} // namespace wisterialane::limits
