#include "tests/proxy/proxy_fixture.h"

#include <map>
#include <set>
#include <string>

#include <doctest/doctest.h>

namespace wisterialane::proxy {

// Guards against healthy upstreams that receive no requests while callers are refused: three of eight upstreams failed
// once and were ejected for more than two seconds.
TEST_CASE_FIXTURE(
    balancer_fixture,
    "load_balancer: half of a service suspected, callers unserved: three quarters get requests after 1.5 s")
{
    add_upstreams(8);
    for (int count = 0; count < 10; ++count) {
        results.record(request.service, count > 1 ? request_result::served : request_result::unserved,
                       now + seconds{1});
    }
    for (const auto* id : {"here0", "here1", "here2", "here3"}) {
        for (int failure = 0; failure < 4; ++failure) {
            upstream_by_id(id).health.record(exchange_outcome::broken, now);
        }
    }
    now += milliseconds{1500};
    std::set<kernel::upstream_name> used;
    for (int count = 0; count < 8; ++count) {
        const auto chosen = balancer.choose(request, now);
        REQUIRE(chosen);
        (*chosen)->in_flight.insert(now);
        used.insert((*chosen)->record.id);
    }
    CHECK(used.size() >= 6);
}

// Guards against trials of failing upstreams, each of which costs a non-idempotent request, while the others can carry
// the load.
TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: three of eight suspected, all callers served: they get no requests")
{
    add_upstreams(8);
    for (const auto* id : {"here0", "here1", "here2"}) {
        upstream_by_id(id).health.record(exchange_outcome::broken, now);
    }
    now += seconds{2};
    for (int count = 0; count < 10; ++count) {
        const auto chosen = balancer.choose(request, now);
        REQUIRE(chosen);
        (*chosen)->in_flight.insert(now);
        CHECK((*chosen)->health.state(now) == trust::trusted);
    }
}

TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: one broken answer: the upstream is ejected")
{
    add_upstreams(4);
    upstream_by_id("here1").health.record(exchange_outcome::broken, now);
    for (int count = 0; count < 6; ++count) {
        const auto chosen = balancer.choose(request, now + seconds{1});
        REQUIRE(chosen);
        (*chosen)->in_flight.insert(now);
        CHECK((*chosen)->record.id != kernel::upstream_name{"here1"});
    }
}

TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: every upstream at its limit: none is selected")
{
    add_upstreams(2);
    for (int count = 0; count < 6; ++count) {
        const auto chosen = balancer.choose(request, now);
        REQUIRE(chosen);
        (*chosen)->in_flight.insert(now);
    }
    const auto chosen = balancer.choose(request, now);
    REQUIRE_FALSE(chosen);
    CHECK(chosen.error() == selection_error::all_at_limit);
}

TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: free slots in two data centres: a local upstream is selected")
{
    add_upstreams(2, "here");
    add_upstreams(2, "there");
    for (int count = 0; count < 4; ++count) {
        const auto chosen = balancer.choose(request, now);
        REQUIRE(chosen);
        CHECK((*chosen)->record.data_centre == kernel::data_centre_name{"here"});
        (*chosen)->in_flight.insert(now);
    }
    CHECK((*balancer.choose(request, now))->record.data_centre == kernel::data_centre_name{"there"});
}

TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: draining upstream: gets no requests")
{
    add_upstreams(1);
    directory.mark_draining(kernel::upstream_name{"here0"}, leaving_source::response);
    const auto chosen = balancer.choose(request, now);
    REQUIRE_FALSE(chosen);
    CHECK(chosen.error() == selection_error::none_available);
}

// Guards against an index that still lists an upstream under its old service after its id was registered for another.
TEST_CASE_FIXTURE(balancer_fixture, "upstream_directory: id registered for another service: listed there alone")
{
    add_upstreams(2);
    auto moved = make_upstream("here0");
    moved.service = kernel::service_name{"archive"};
    directory.update(moved, now);
    CHECK(directory.of_service(kernel::service_name{"certificates"}) == std::vector{&upstream_by_id("here1")});
    CHECK(directory.of_service(kernel::service_name{"archive"}) == std::vector{&upstream_by_id("here0")});
    directory.remove(kernel::upstream_name{"here0"}, now);
    CHECK(directory.of_service(kernel::service_name{"archive"}).empty());
}

// Guards against healthy upstreams that get no requests for seconds: the next upstream in the list was chosen, so that
// the one after a run of ejected upstreams also got all requests of that run.
TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: half of a service suspected: the others get requests in turn")
{
    add_upstreams(20);
    for (int index = 0; index < 8; ++index) {
        upstream_by_id("here" + std::to_string(index)).health.record(exchange_outcome::broken, now);
    }
    std::map<std::string, int> requests;
    for (int count = 0; count < 120; ++count) {
        now += milliseconds{5};
        const auto chosen = balancer.choose(request, now);
        REQUIRE(chosen);
        (*chosen)->last_request_at = now;
        ++requests[(*chosen)->record.id.value()];
    }
    REQUIRE(requests.size() == 12);
    for (const auto& [id, count] : requests) {
        CHECK(count == 10);
    }
}

TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: summary of a service: counts upstreams by state and results of 3 s")
{
    add_upstreams(5);
    upstream_by_id("here0").health.record(exchange_outcome::broken, now);
    upstream_by_id("here1").in_flight.insert(now - seconds{5});
    upstream_by_id("here2").last_request_at = now - seconds{1};
    directory.mark_draining(kernel::upstream_name{"here4"}, leaving_source::response);
    results.record(request.service, request_result::served, now);
    results.record(request.service, request_result::unserved, now);
    results.record(request.service, request_result::disconnected, now);
    const auto summary = balancer.summarize(request.service, now);
    CHECK(summary.trusted == 3);
    CHECK(summary.suspected == 1);
    CHECK(summary.stuck == 1);
    CHECK(summary.recently_used == 1);
    CHECK(summary.in_flight == 1);
    CHECK(summary.results == result_counts{1, 2, 0});
    CHECK(summary.strained);
}

// Guards against slow upstreams that get no requests while callers are unserved (seen on skm-gateway-grown, trouble-3).
TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: strained service: every healthy upstream gets requests in turn")
{
    add_upstreams(20);
    for (int index = 0; index < 20; ++index) {
        upstream_by_id("here" + std::to_string(index)).latency = milliseconds{100 + 20 * index};
    }
    for (int result = 0; result < 20; ++result) {
        results.record(request.service, result % 2 == 0 ? request_result::served : request_result::unserved, now);
    }
    std::set<std::string> used;
    for (int count = 0; count < 30; ++count) {
        now += milliseconds{1};
        const auto chosen = balancer.choose(request, now);
        REQUIRE(chosen);
        (*chosen)->last_request_at = now;
        used.insert((*chosen)->record.id.value());
    }
    CHECK(used.size() >= 14);
}

// Guards against queues at the upstreams of an overloaded service that all hosts fill together: each host bounded its
// own requests at an upstream only.
TEST_CASE_FIXTURE(balancer_fixture,
                  "load_balancer: other hosts have most of the demand: this host uses its part of the service")
{
    add_upstreams(4);
    for (const auto* id : {"here0", "here1", "here2", "here3"}) {
        upstream_by_id(id).latency = seconds{1};
    }
    results.record_demand(request.service, seconds{1}, now);
    results.record_remote(kernel::host_name{"other"}, {{request.service, {0, 0, 3000}}}, now);
    // Eight slots and 0.3 s of queue are 10.4 requests; a quarter of them, and one more.
    for (int count = 0; count < 4; ++count) {
        const auto chosen = balancer.choose(request, now);
        REQUIRE(chosen);
        (*chosen)->in_flight.insert(now);
    }
    const auto refused = balancer.choose(request, now);
    REQUIRE_FALSE(refused);
    CHECK(refused.error() == selection_error::all_at_limit);
}

// Guards against healthy upstreams without requests while requests of this host hang at a suspected one.
TEST_CASE_FIXTURE(balancer_fixture,
                  "load_balancer: requests hang at a suspected upstream: the healthy ones get this host's part")
{
    add_upstreams(5);
    for (const auto* id : {"here0", "here1", "here2", "here3", "here4"}) {
        upstream_by_id(id).latency = seconds{1};
    }
    upstream_by_id("here4").health.record(exchange_outcome::broken, now);
    for (int count = 0; count < 3; ++count) {
        upstream_by_id("here4").in_flight.insert(now);
    }
    results.record_demand(request.service, seconds{1}, now);
    results.record_remote(kernel::host_name{"other"}, {{request.service, {0, 0, 3000}}}, now);
    for (int count = 0; count < 4; ++count) {
        const auto chosen = balancer.choose(request, now);
        REQUIRE(chosen);
        CHECK((*chosen)->record.id != kernel::upstream_name{"here4"});
        (*chosen)->in_flight.insert(now);
    }
    CHECK_FALSE(balancer.choose(request, now));
}

// Guards against upstreams that were slow once and get no requests any more (seen on asiis-gw-grown: none for 20 s
// after an answer in time): only another answer corrected their latency.
TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: old slow answers, no requests since: gets one within two seconds")
{
    add_upstreams(6);
    for (int index = 0; index < 6; ++index) {
        upstream_by_id("here" + std::to_string(index)).latency = milliseconds{index == 0 ? 600 : 300};
        upstream_by_id("here" + std::to_string(index)).last_response_at = now;
    }
    bool used = false;
    for (const auto end = now + seconds{2}; now < end; now += milliseconds{20}) {
        const auto chosen = balancer.choose(request, now);
        REQUIRE(chosen);
        (*chosen)->last_request_at = now;
        used = used || (*chosen)->record.id == kernel::upstream_name{"here0"};
    }
    CHECK(used);
}

// Guards against long queues at the last healthy upstreams of a service whose other upstreams are on trial: their slots
// counted as usable, so that requests for them were sent to the healthy ones.
TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: upstreams on trial: their slots do not raise the limit")
{
    add_upstreams(4);
    add_upstreams(8, "there");
    for (int index = 0; index < 8; ++index) {
        upstream_by_id("there" + std::to_string(index)).health.record(exchange_outcome::broken, now);
    }
    now += milliseconds{4500};
    for (int index = 0; index < 4; ++index) {
        upstream_by_id("here" + std::to_string(index)).latency = seconds{1};
    }
    results.record_demand(request.service, seconds{1}, now);
    results.record_remote(kernel::host_name{"other"}, {{request.service, {0, 0, 1000}}}, now);
    for (int count = 0; count < 24; ++count) {
        if (const auto chosen = balancer.choose(request, now)) {
            (*chosen)->in_flight.insert(now);
        }
    }
    std::size_t in_flight = 0;
    for (int index = 0; index < 4; ++index) {
        in_flight += upstream_by_id("here" + std::to_string(index)).in_flight.size();
    }
    // Half of eight slots and 0.3 s of queue are 5.2 requests, and one more.
    CHECK(in_flight == 7);
}

// Guards against upstreams that have recovered and get no trial, because the few healthy ones are at the limit.
TEST_CASE_FIXTURE(balancer_fixture,
                  "load_balancer: limit of the service reached, upstream on trial: a repeatable request is its trial")
{
    add_upstreams(4);
    upstream_by_id("here3").health.record(exchange_outcome::broken, now);
    now += milliseconds{4500};
    for (const auto* id : {"here0", "here1", "here2"}) {
        upstream_by_id(id).latency = seconds{1};
        upstream_by_id(id).in_flight.insert(now);
    }
    results.record_demand(request.service, seconds{1}, now);
    results.record_remote(kernel::host_name{"other"}, {{request.service, {0, 0, 9000}}}, now);
    CHECK_FALSE(balancer.choose(request, now));
    request.repeatable = true;
    CHECK_FALSE(balancer.choose(request, now));
    const auto trial = balancer.choose(request, now);
    REQUIRE(trial);
    CHECK((*trial)->record.id == kernel::upstream_name{"here3"});
}

// Guards against requests that wait for the end of an exchange that hangs, while the upstream may be used as the last
// resort.
TEST_CASE_FIXTURE(balancer_fixture,
                  "load_balancer: only upstream is on trial and its exchange hangs: is the last resort")
{
    add_upstreams(1);
    upstream_by_id("here0").health.record(exchange_outcome::broken, now);
    now += seconds{5};
    upstream_by_id("here0").in_flight.insert(now);
    now += seconds{3};
    const auto chosen = balancer.choose(request, now);
    REQUIRE(chosen);
    CHECK((*chosen)->record.id == kernel::upstream_name{"here0"});
}

// Guards against a request that waits in the queue although it may be sent to no upstream any more.
TEST_CASE_FIXTURE(balancer_fixture,
                  "load_balancer: request was sent to all upstreams, one is at its limit: none is left")
{
    add_upstreams(2);
    for (int count = 0; count < 3; ++count) {
        upstream_by_id("here0").in_flight.insert(now);
    }
    request.excluded = {kernel::upstream_name{"here0"}, kernel::upstream_name{"here1"}};
    const auto refused = balancer.choose(request, now);
    REQUIRE_FALSE(refused);
    CHECK(refused.error() == selection_error::none_available);
}

// Guards against hosts with few callers that serve none of them.
TEST_CASE_FIXTURE(balancer_fixture,
                  "load_balancer: hardly any demand at this host: it still has two requests in flight")
{
    add_upstreams(4);
    results.record_remote(kernel::host_name{"other"}, {{request.service, {0, 0, 1000000}}}, now);
    for (int count = 0; count < 2; ++count) {
        const auto chosen = balancer.choose(request, now);
        REQUIRE(chosen);
        (*chosen)->in_flight.insert(now);
    }
    CHECK_FALSE(balancer.choose(request, now));
}

} // namespace wisterialane::proxy
