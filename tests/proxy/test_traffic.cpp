#include "libraries/proxy/fleet_retry_budget.h"
#include "libraries/proxy/proxy_events.h"
#include "libraries/proxy/routing_table.h"
#include "libraries/proxy/weighted_selector.h"
#include "tests/proxy/proxy_fixture.h"

#include <cmath>
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

TEST_CASE("routing_table: invalid configurations: fail with the event of their error")
{
    auto unknown_service = make_configuration();
    unknown_service.routes[0].services = {{kernel::service_name{"nowhere"}, 1}};
    CHECK(routing_table::create(unknown_service).error().is(proxy_event::unknown_service));
    auto prefix_without_slash = make_configuration();
    prefix_without_slash.routes[0].path_prefix = "/lots";
    CHECK(routing_table::create(prefix_without_slash).error().is(proxy_event::invalid_prefix));
    auto shared_key = make_configuration();
    shared_key.customers.push_back(shared_key.customers[0]);
    CHECK(routing_table::create(shared_key).error().is(proxy_event::key_held_twice));
    auto negative_rate = make_configuration();
    negative_rate.customers[0].rate_per_second = -1;
    CHECK(routing_table::create(negative_rate).error().is(proxy_event::invalid_limit));
}

TEST_CASE("normalize_host_name: port and upper case: are removed")
{
    CHECK(normalize_host_name("Gateway.Example:8080") == "gateway.example");
    CHECK(path_of("/lots/?a=/b/") == "/lots/");
}

// Guards against a service of a weighted route that gets more or less than its share of the requests.
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

// Guards against weights that are truncated to whole numbers (review, CONFIG: 0.9 and 0.1 became 0, so that the whole
// version was refused; 2.5 and 1 became 2 and 1).
TEST_CASE("weighted_selector: weights of any size, with fractions: the shares are their proportions")
{
    struct split {
        double first;
        double second;
        double share_of_second;
    };

    for (const auto& [first, second, share_of_second] :
         {split{0.9, 0.1, 0.1}, split{0.0004, 0.0001, 0.2}, split{2.5, 1, 1 / 3.5}, split{1e-320, 1e-320, 0.5},
          split{1e308, 1e308, 0.5}, split{1, 0, 0}, split{0, 3, 1}}) {
        CAPTURE(first);
        auto route = make_route("split", "/");
        route.services = {{kernel::service_name{"old"}, first}, {kernel::service_name{"new"}, second}};
        weighted_selector selector{7};
        int count = 0;
        constexpr int requests = 7000;
        for (int request = 0; request < requests; ++request) {
            count += selector.next(route) == kernel::service_name{"new"} ? 1 : 0;
        }
        CHECK(std::abs(count - share_of_second * requests) <= 1.5);
    }
}

TEST_CASE("fleet_retry_budget: eight hosts retry as often as allowed: the fleet stays within ratio and slack")
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

// Guards against exceeding the fleet's retry budget after all processes were killed: each of 36 hosts, most of them
// standby hosts, used the slack that was meant for one of eight active hosts.
TEST_CASE("slack_fraction: eight active hosts, 28 standby hosts: their fractions add up to at most the slack")
{
    const auto active = slack_fraction({true, 8, 28, seconds{60}});
    const auto standby = slack_fraction({false, 8, 28, seconds{60}});
    CHECK(8 * active + 28 * standby <= 1.0001);
    CHECK(active > standby);
    CHECK(slack_fraction({true, 8, 28, seconds{1}}) <= active / 2);
}

} // namespace wisterialane::proxy
