#include "libraries/health/balancer.h"
#include "libraries/health/quarantine.h"
#include "libraries/health/upstream_evidence.h"
#include "services/health_service.h"

#include <algorithm>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace wisterialane::health {
namespace {

using namespace std::chrono_literals;

const kernel::upstream_name first{"a"};
const kernel::upstream_name second{"b"};
const kernel::time_point start{1h};

// Guards against lost, repeated or reordered reports changing what is known of a host.
TEST_CASE("upstream_evidence: reports in any order, repeated: end in the same counters, and deltas never exceed them")
{
    const bool holds = rc::check([] {
        const auto size = *rc::gen::inRange(1U, 12U);
        const auto steps = *rc::gen::container<std::vector<std::uint8_t>>(size, rc::gen::arbitrary<std::uint8_t>());
        std::vector<evidence_report> reports;
        upstream_counters last{first, 0, 0};
        for (const auto step : steps) {
            last.good += step / 16;
            last.bad += step % 16;
            reports.push_back({kernel::instance_id{"other"}, reports.size() + 1, {last}, {}});
        }
        auto shuffled = reports;
        shuffled.insert(shuffled.end(), reports.begin(), reports.end());
        std::mt19937_64 random{*rc::gen::arbitrary<std::uint64_t>()};
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        upstream_evidence evidence{kernel::instance_id{"own"}};
        evidence.set_upstreams({first});
        std::uint64_t good = 0;
        std::uint64_t bad = 0;
        for (const auto& report : shuffled) {
            evidence.merge(report, start);
            for (const auto& delta : evidence.take_deltas()) {
                good += delta.good;
                bad += delta.bad;
            }
        }
        const auto known = evidence.counters_of(kernel::instance_id{"other"}, first);
        RC_ASSERT(known.good == last.good);
        RC_ASSERT(known.bad == last.bad);
        RC_ASSERT(good <= last.good);
        RC_ASSERT(bad <= last.bad);
    });
    CHECK(holds);
}

// Guards against a request that crashes each upstream in turn, and against refusing a common request for ever.
TEST_CASE("quarantine: crashes on two upstreams: refuses until the lifetime is over")
{
    quarantine list;
    CHECK(list.record({1, first}, start) == crash_attribution::undecided);
    CHECK(list.record({1, first}, start) == crash_attribution::undecided);
    CHECK_FALSE(list.is_quarantined(1, start));
    CHECK(list.record({1, second}, start + 1s) == crash_attribution::request_newly_blamed);
    CHECK(list.is_quarantined(1, start + 9min));
    CHECK_FALSE(list.is_quarantined(1, start + 11min));
    CHECK(list.sightings(start + 1min).empty());
}

// Guards against blaming a common request that was in flight when two upstreams restarted.
TEST_CASE("quarantine: the request succeeds between two crashes: is not refused")
{
    quarantine list;
    list.record({1, first}, start);
    list.record_success(1, start + 1s);
    list.record({1, second}, start + 2s);
    CHECK_FALSE(list.is_quarantined(1, start + 2s));
}

// Guards against unbounded memory when requests with many fingerprints crash.
TEST_CASE("quarantine: many fingerprints: keeps the decided ones and a bounded number")
{
    quarantine list;
    list.record({1, first}, start);
    list.record({1, second}, start);
    for (std::uint64_t fingerprint = 2; fingerprint < 5000; ++fingerprint) {
        list.record({fingerprint, first}, start + 1s);
    }
    CHECK(list.is_quarantined(1, start + 1s));
    CHECK(list.sightings(start + 1s).size() <= quarantine::maximum_reported + 1);
}

// Guards against more requests in flight than an upstream has slots, and against retries on the same upstream.
TEST_CASE("balancer: slots used or all excluded: fails with the reason")
{
    balancer choices;
    choices.configure({kernel::service_name{"s"}, 50, {{first, {}, 1}, {second, {}, 2}}});
    const auto weight = [](const kernel::upstream_name&) { return 1.0; };
    const random_source random = [generator = std::mt19937_64{3}]() mutable { return generator(); };
    CHECK(choices.choose(weight, {first, second}, random, start).error().is(health_event::no_usable_upstream));
    for (int count = 0; count < 3; ++count) {
        const auto chosen = choices.choose(weight, {}, random, start);
        REQUIRE(chosen);
        choices.started(*chosen);
    }
    CHECK(choices.in_flight(first) == 1);
    CHECK(choices.in_flight(second) == 2);
    CHECK(choices.choose(weight, {}, random, start).error().is(health_event::upstreams_busy));
}

// Guards against data races and lost counts when many requests choose at once.
TEST_CASE("health_service: many threads: each choice is counted and released, leaving upstreams get none")
{
    services::health_service service{kernel::instance_id{"own"}, kernel::boot_clock::now};
    service.configure({{kernel::service_name{"s"}, 50, {{first, {}, 4}, {second, {}, 4}}}}, kernel::boot_clock::now());
    REQUIRE(service.start());
    service.mark_leaving(second, kernel::boot_clock::now());
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int index = 0; index < 4; ++index) {
        threads.emplace_back([&] {
            for (int round = 0; round < 500; ++round) {
                const auto now = kernel::boot_clock::now();
                const auto chosen = service.choose(kernel::service_name{"s"}, kernel::route_name{"r"}, {}, now);
                REQUIRE(chosen);
                CHECK(chosen->name == first);
                service.request_sent(chosen->handle, now);
                service.finish(chosen->handle, {outcome_kind::good, 1ms, 0}, now);
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const auto report = service.make_report(kernel::boot_clock::now());
    service.stop();
    REQUIRE(report.counters.size() == 1);
    CHECK(report.counters[0].good == 2000);
}

} // namespace
} // namespace wisterialane::health
