#include "tests/proxy/proxy_fixture.h"

#include <map>
#include <set>
#include <string>

#include <doctest/doctest.h>

namespace wisterialane::proxy {

// Guards against healthy upstreams without work while callers are refused: three of eight upstreams had failed once and
// were kept without work for longer than two seconds.
TEST_CASE_FIXTURE(balancer_fixture,
                  "load_balancer: half of a service suspected, callers unserved: three quarters get work after 1.5 s")
{
    add(8);
    for (int count = 0; count < 10; ++count) {
        results.record(request.service, count > 1 ? request_result::served : request_result::unserved,
                       now + seconds{1});
    }
    for (const auto* id : {"here0", "here1", "here2", "here3"}) {
        for (int failure = 0; failure < 4; ++failure) {
            item(id).health.record(exchange_outcome::broken, now);
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

// Guards against trials of sick upstreams, each of which costs a request that must not be repeated, while the others
// carry the load well.
TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: three of eight suspected, all callers served: they get nothing")
{
    add(8);
    for (const auto* id : {"here0", "here1", "here2"}) {
        item(id).health.record(exchange_outcome::broken, now);
    }
    now += seconds{2};
    for (int count = 0; count < 10; ++count) {
        const auto chosen = balancer.choose(request, now);
        REQUIRE(chosen);
        (*chosen)->in_flight.insert(now);
        CHECK((*chosen)->health.state(now) == trust::trusted);
    }
}

TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: one broken answer: the upstream gets nothing for a while")
{
    add(4);
    item("here1").health.record(exchange_outcome::broken, now);
    for (int count = 0; count < 6; ++count) {
        const auto chosen = balancer.choose(request, now + seconds{1});
        REQUIRE(chosen);
        (*chosen)->in_flight.insert(now);
        CHECK((*chosen)->record.id != kernel::upstream_name{"here1"});
    }
}

TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: every upstream at its limit: the request waits")
{
    add(2);
    for (int count = 0; count < 6; ++count) {
        const auto chosen = balancer.choose(request, now);
        REQUIRE(chosen);
        (*chosen)->in_flight.insert(now);
    }
    const auto chosen = balancer.choose(request, now);
    REQUIRE_FALSE(chosen);
    CHECK(chosen.error() == selection_error::all_at_limit);
}

TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: free slots here and elsewhere: stays in the data centre")
{
    add(2, "here");
    add(2, "there");
    for (int count = 0; count < 4; ++count) {
        const auto chosen = balancer.choose(request, now);
        REQUIRE(chosen);
        CHECK((*chosen)->record.data_centre == kernel::data_centre_name{"here"});
        (*chosen)->in_flight.insert(now);
    }
    CHECK((*balancer.choose(request, now))->record.data_centre == kernel::data_centre_name{"there"});
}

TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: leaving upstream: gets nothing")
{
    add(1);
    directory.mark_draining(kernel::upstream_name{"here0"});
    const auto chosen = balancer.choose(request, now);
    REQUIRE_FALSE(chosen);
    CHECK(chosen.error() == selection_error::none_available);
}

// Guards against an index that still names an upstream whose id came back for another service.
TEST_CASE_FIXTURE(balancer_fixture, "upstream_directory: id registered for another service: listed there alone")
{
    add(2);
    auto moved = make_upstream("here0");
    moved.service = kernel::service_name{"archive"};
    directory.update(moved);
    CHECK(directory.of_service(kernel::service_name{"certificates"}) == std::vector{&item("here1")});
    CHECK(directory.of_service(kernel::service_name{"archive"}) == std::vector{&item("here0")});
    directory.remove(kernel::upstream_name{"here0"}, now);
    CHECK(directory.of_service(kernel::service_name{"archive"}).empty());
}

// Guards against sound upstreams that wait for seconds between others that get nothing: the turn went to the next one
// in the list, so that those behind a gap got the turns of the gap.
TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: half of a service suspected: the others get requests in turn")
{
    add(20);
    for (int index = 0; index < 8; ++index) {
        item("here" + std::to_string(index)).health.record(exchange_outcome::broken, now);
    }
    std::map<std::string, int> requests;
    for (int count = 0; count < 120; ++count) {
        now += milliseconds{5};
        const auto chosen = balancer.choose(request, now);
        REQUIRE(chosen);
        (*chosen)->sent_at = now;
        ++requests[(*chosen)->record.id.value()];
    }
    REQUIRE(requests.size() == 12);
    for (const auto& [id, count] : requests) {
        CHECK(count == 10);
    }
}

TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: view of a service: counts upstreams by state and results of 3 s")
{
    add(5);
    item("here0").health.record(exchange_outcome::broken, now);
    item("here1").in_flight.insert(now - seconds{5});
    item("here2").sent_at = now - seconds{1};
    directory.mark_draining(kernel::upstream_name{"here4"});
    results.record(request.service, request_result::served, now);
    results.record(request.service, request_result::unserved, now);
    results.record(request.service, request_result::disconnected, now);
    const auto view = balancer.summarize(request.service, now);
    CHECK(view.trusted == 3);
    CHECK(view.suspected == 1);
    CHECK(view.stuck == 1);
    CHECK(view.recently_used == 1);
    CHECK(view.results == result_counts{1, 2});
    CHECK(view.strained);
}

// Guards against slow upstreams that stay without work while callers go unserved (seen on skm-gateway-grown,
// trouble-3).
TEST_CASE_FIXTURE(balancer_fixture, "load_balancer: strained service: every sound upstream gets requests in turn")
{
    add(20);
    for (int index = 0; index < 20; ++index) {
        item("here" + std::to_string(index)).latency = milliseconds{100 + 20 * index};
    }
    for (int result = 0; result < 20; ++result) {
        results.record(request.service, result % 2 == 0 ? request_result::served : request_result::unserved, now);
    }
    std::set<std::string> used;
    for (int count = 0; count < 30; ++count) {
        now += milliseconds{1};
        const auto chosen = balancer.choose(request, now);
        REQUIRE(chosen);
        (*chosen)->sent_at = now;
        used.insert((*chosen)->record.id.value());
    }
    CHECK(used.size() >= 14);
}

} // namespace wisterialane::proxy
