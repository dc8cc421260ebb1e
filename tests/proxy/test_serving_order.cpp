#include "libraries/proxy/placement/serving_order.h"
#include "tests/proxy/proxy_fixture.h"

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

const kernel::service_name service{"certificates"};
const kernel::data_centre_name here{"here"};
const kernel::data_centre_name elsewhere{"elsewhere"};

/// One host as the others see it.
struct serving_host {
    kernel::host_name name;
    kernel::data_centre_name data_centre;
    service_results results;
    spillover_planner reports{results, data_centre};
    serving_order order{results, reports};

    serving_host(std::string initial_name, kernel::data_centre_name initial_data_centre)
        : name{std::move(initial_name)}, data_centre{std::move(initial_data_centre)}
    {
        order.set_host(name, data_centre);
    }

    void hear(const serving_host& other, std::uint64_t requests)
    {
        results.record_remote(other.name, {{service, {requests, 0, 0, {}}}}, test_start);
        reports.record_report(other.name, other.data_centre, {}, test_start);
    }

    [[nodiscard]] bool is_first(const upstream_record& upstream,
                                const std::vector<kernel::host_name>& unreachable_from = {})
    {
        return order.is_first(upstream, unreachable_from, test_start);
    }
};

/// Three hosts in one data centre and one in another, which all have requests.
struct serving_fixture {
    std::deque<serving_host> hosts;
    std::vector<upstream_record> upstreams;

    serving_fixture()
    {
        for (const auto* name : {"h0", "h1", "h2"}) {
            hosts.emplace_back(name, here);
        }
        hosts.emplace_back("e0", elsewhere);
        for (int count = 0; count < 60; ++count) {
            upstreams.push_back(make_upstream("u" + std::to_string(count), here.value()));
            upstreams.back().service = service;
        }
    }

    void exchange_reports()
    {
        for (auto& to : hosts) {
            for (const auto& from : hosts) {
                if (&to != &from) {
                    to.hear(from, 100);
                }
            }
        }
    }

    [[nodiscard]] std::ptrdiff_t first_hosts(const upstream_record& upstream,
                                             const std::vector<kernel::host_name>& unreachable_from = {})
    {
        return std::count_if(hosts.begin(), hosts.end(), [&](auto& host) {
            const bool cut =
                std::find(unreachable_from.begin(), unreachable_from.end(), host.name) != unreachable_from.end();
            return !cut && host.is_first(upstream, unreachable_from);
        });
    }
};

} // namespace

// Guards against upstreams that no host keeps in use (FLOOR), and against ones that several hosts do.
TEST_CASE_FIXTURE(serving_fixture,
                  "serving_order: all hosts report: each upstream has one first host, in its data centre")
{
    exchange_reports();
    for (const auto& upstream : upstreams) {
        CHECK(first_hosts(upstream) == 1);
        CHECK_FALSE(hosts[3].is_first(upstream));
    }
    for (std::size_t host = 0; host < 3; ++host) {
        const auto kept = std::count_if(upstreams.begin(), upstreams.end(),
                                        [&](const auto& upstream) { return hosts[host].is_first(upstream); });
        CHECK(kept >= 8);
    }
}

TEST_CASE_FIXTURE(serving_fixture,
                  "serving_order: half of the reports are missing: no upstream is without a first host")
{
    hosts[0].hear(hosts[1], 100);
    hosts[1].hear(hosts[2], 100);
    hosts[3].hear(hosts[0], 100);
    for (const auto& upstream : upstreams) {
        CHECK(first_hosts(upstream) >= 1);
        CHECK(first_hosts(upstream) <= 3);
    }
}

TEST_CASE_FIXTURE(serving_fixture, "serving_order: the first host cannot connect: another one is the first")
{
    exchange_reports();
    for (const auto& upstream : upstreams) {
        const auto first =
            std::find_if(hosts.begin(), hosts.end(), [&](auto& host) { return host.is_first(upstream); });
        REQUIRE(first != hosts.end());
        CHECK(first_hosts(upstream, {first->name}) == 1);
    }
}

TEST_CASE_FIXTURE(serving_fixture,
                  "serving_order: no host of the data centre has requests: a host elsewhere is the first")
{
    for (auto& upstream : upstreams) {
        upstream.data_centre = kernel::data_centre_name{"empty"};
    }
    exchange_reports();
    for (const auto& upstream : upstreams) {
        CHECK(first_hosts(upstream) == 1);
    }
}

TEST_CASE_FIXTURE(serving_fixture, "serving_order: a host with few requests: is the first for no upstream")
{
    for (auto& to : hosts) {
        for (const auto& from : hosts) {
            if (&to != &from) {
                to.hear(from, &from == &hosts[1] ? 10 : 100);
            }
        }
    }
    for (const auto& upstream : upstreams) {
        CHECK((hosts[0].is_first(upstream) || hosts[2].is_first(upstream)));
    }
}

} // namespace wisterialane::proxy
