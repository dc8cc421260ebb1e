#include "libraries/proxy/fleet_retry_budget.h"
#include "libraries/proxy/proxy_events.h"
#include "libraries/proxy/request_queue.h"
#include "libraries/proxy/routing_table.h"
#include "libraries/proxy/weighted_selector.h"
#include "tests/proxy/proxy_fixture.h"

#include <map>
#include <string>

#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

traffic_route make_route(const std::string& name, const std::string& prefix)
{
    traffic_route route;
    route.name = kernel::route_name{name};
    route.host_name = "gateway.example";
    route.path_prefix = prefix;
    route.services = {{kernel::service_name{"certificates"}, 1}};
    return route;
}

traffic_configuration make_configuration()
{
    traffic_configuration configuration;
    configuration.version = kernel::version_number{3};
    configuration.services = {{kernel::service_name{"certificates"}, "/health", 10}};
    configuration.routes = {make_route("all", "/lots/"), make_route("one", "/lots/certificates/")};
    traffic_customer seller;
    seller.name = kernel::customer_name{"seller"};
    seller.keys = {"key-one"};
    configuration.customers = {seller};
    return configuration;
}

} // namespace

TEST_CASE("routing_table: two prefixes of a path: the longest wins")
{
    const auto table = routing_table::create(make_configuration());
    REQUIRE(table);
    const auto* route = (*table)->find_route("gateway.example", "/lots/certificates/17");
    REQUIRE(route != nullptr);
    CHECK(route->name == kernel::route_name{"one"});
    CHECK((*table)->find_route("gateway.example", "/lots/certificatesx")->name == kernel::route_name{"all"});
    CHECK((*table)->find_route("gateway.example", "/lots") == nullptr);
    CHECK((*table)->find_route("other.example", "/lots/") == nullptr);
}

TEST_CASE("routing_table: faulty versions: fail with the object at fault")
{
    auto unknown_service = make_configuration();
    unknown_service.routes[0].services = {{kernel::service_name{"nowhere"}, 1}};
    CHECK(routing_table::create(unknown_service).error().is(proxy_event::unknown_service));
    auto bare_prefix = make_configuration();
    bare_prefix.routes[0].path_prefix = "/lots";
    CHECK(routing_table::create(bare_prefix).error().is(proxy_event::invalid_prefix));
    auto shared_key = make_configuration();
    shared_key.customers.push_back(shared_key.customers[0]);
    CHECK(routing_table::create(shared_key).error().is(proxy_event::key_held_twice));
    auto below_zero = make_configuration();
    below_zero.customers[0].rate_per_second = -1;
    CHECK(routing_table::create(below_zero).error().is(proxy_event::invalid_limit));
}

TEST_CASE("normalize_host_name: port and capitals: are left out")
{
    CHECK(normalize_host_name("Gateway.Example:8080") == "gateway.example");
    CHECK(path_of("/lots/?a=/b/") == "/lots/");
}

// Guards against a part of a weighted route that gets more or less than its share.
TEST_CASE("weighted_selector: weights 90 and 10: every 20 requests have the right shares")
{
    auto route = make_route("split", "/");
    route.services = {{kernel::service_name{"old"}, 90}, {kernel::service_name{"new"}, 10}};
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        weighted_selector selector{seed};
        std::map<kernel::service_name, int> counts;
        for (int request = 0; request < 20; ++request) {
            ++counts[selector.next(route)];
        }
        CHECK(counts[kernel::service_name{"new"}] >= 1);
        CHECK(counts[kernel::service_name{"new"}] <= 3);
    }
}

TEST_CASE("fleet_retry_budget: eight hosts retry all they may: the fleet stays within ratio and slack")
{
    std::vector<fleet_retry_budget> hosts(8);
    const kernel::service_name service{"certificates"};
    int retries = 0;
    for (auto& host : hosts) {
        host.configure({0.2, 58});
        host.set_slack_fraction(slack_fraction({true, hosts.size(), 28, seconds{60}}));
        for (int request = 0; request < 100; ++request) {
            const auto now = test_start + milliseconds{100 * request};
            host.record_request(service, now);
            retries += host.try_consume(service, now) ? 1 : 0;
        }
    }
    CHECK(retries <= 0.2 * 800 + 58);
    CHECK(retries >= 0.5 * (0.2 * 800 + 58));
}

// Guards against more retries than the fleet may make after all processes were killed: each of 36 hosts, most of them
// standing by, took the slack that was meant for one of eight.
TEST_CASE("slack_fraction: eight hosts take callers, 28 stand by: their parts add up to at most the slack")
{
    const auto offered = slack_fraction({true, 8, 28, seconds{60}});
    const auto standby = slack_fraction({false, 8, 28, seconds{60}});
    CHECK(8 * offered + 28 * standby <= 1.0001);
    CHECK(offered > standby);
    CHECK(slack_fraction({true, 8, 28, seconds{1}}) <= offered / 2);
}

/// A line whose served requests are noted by customer.
struct line_fixture {
    request_queue line;
    std::string served;
    std::size_t free_slots = 0;

    queue_ticket push(const std::string& customer, int customer_priority = 1, int route_priority = 1)
    {
        return line.push({customer_priority, route_priority, kernel::customer_name{customer}, [this, customer] {
                              if (free_slots == 0) {
                                  return false;
                              }
                              --free_slots;
                              served += customer;
                              return true;
                          }});
    }
};

TEST_CASE_FIXTURE(line_fixture, "request_queue: one customer sends many: the others are served in turn")
{
    for (int count = 0; count < 6; ++count) {
        push("a");
    }
    push("b");
    push("c");
    free_slots = 4;
    line.dispatch();
    CHECK(served == "abca");
    CHECK(line.size() == 4);
}

TEST_CASE_FIXTURE(line_fixture, "request_queue: urgent customer arrives last: is served first")
{
    push("a", 1, 0);
    push("b", 0, 3);
    CHECK(line.count_ahead_of(0, 3) == 1);
    free_slots = 1;
    line.dispatch();
    CHECK(served == "b");
}

TEST_CASE_FIXTURE(line_fixture, "request_queue: cancelled request: is not served")
{
    const auto ticket = push("a");
    push("b");
    line.erase(ticket);
    free_slots = 2;
    line.dispatch();
    CHECK(served == "b");
}

} // namespace wisterialane::proxy
