#include "libraries/proxy/customer_quota.h"
#include "tests/proxy/proxy_fixture.h"

#include <deque>
#include <random>

#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

constexpr double rate = 36;
constexpr double burst = rate;
constexpr milliseconds report_delay{50};
/// Hosts that take callers report this often, and at once when tokens are short.
constexpr milliseconds state_pause{500};

/// Hosts that admit one customer's requests and tell one another, with a delay.
struct quota_fixture {
    struct report {
        kernel::time_point due;
        std::size_t from;
        std::uint64_t requests;
    };

    kernel::customer_name customer{"seller"};
    std::vector<customer_quota> hosts;
    std::deque<report> under_way;
    std::vector<kernel::time_point> admitted;
    std::vector<std::uint64_t> told;
    std::vector<kernel::time_point> told_at;
    int refused = 0;

    void start(std::size_t count, bool certain = true, double rate_and_burst = rate)
    {
        traffic_customer settings;
        settings.name = customer;
        settings.rate_per_second = rate_and_burst;
        settings.burst = rate_and_burst;
        hosts.assign(count, {});
        told.assign(count, 0);
        told_at.assign(count, test_start);
        for (auto& host : hosts) {
            host.set_hosts(count, certain);
            host.set_tolerance(20);
            host.configure({settings}, test_start);
        }
    }

    void deliver(kernel::time_point now)
    {
        while (!under_way.empty() && under_way.front().due <= now) {
            for (std::size_t index = 0; index < hosts.size(); ++index) {
                if (index != under_way.front().from) {
                    hosts[index].record_elsewhere(customer, under_way.front().requests, now);
                }
            }
            under_way.pop_front();
        }
    }

    void tell(std::size_t index, kernel::time_point now)
    {
        const auto total = hosts[index].admitted().at(customer);
        under_way.push_back({now + report_delay, index, total - told[index]});
        told[index] = total;
        told_at[index] = now;
        hosts[index].reported();
    }

    void tell_if_due(kernel::time_point now)
    {
        for (std::size_t index = 0; index < hosts.size(); ++index) {
            const bool any = !hosts[index].admitted().empty();
            if (any && (now - told_at[index] >= state_pause || hosts[index].report_is_urgent(now))) {
                tell(index, now);
            }
        }
    }

    /// One request at a host, after what the hosts have told by then.
    void offer(std::size_t index, kernel::time_point now)
    {
        deliver(now);
        if (hosts[index].admit(customer, now)) {
            ++refused;
            return;
        }
        admitted.push_back(now);
        tell_if_due(now);
    }

    /// Sends `per_second` requests to random hosts for a time.
    void run(double per_second, seconds length, unsigned seed)
    {
        std::mt19937 random{seed};
        const auto gap = std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double>{1 / per_second});
        for (auto now = test_start; now < test_start + length; now += gap) {
            offer(random() % hosts.size(), now);
        }
    }

    /// The same with exponential gaps, as independent callers send.
    void run_at_random(double per_second, seconds length, unsigned seed)
    {
        std::mt19937 random{seed};
        std::exponential_distribution<double> gap{per_second};
        auto now = test_start;
        while (now < test_start + length) {
            now += std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double>{gap(random)});
            offer(random() % hosts.size(), now);
        }
    }

    /// The most admissions in any span of this length.
    [[nodiscard]] std::size_t most_in(seconds span) const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < admitted.size(); ++last) {
            while (admitted[last] - admitted[first] >= span) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }
};

} // namespace

// Guards against more than rate and burst over all hosts when one customer sends five times its rate.
TEST_CASE_FIXTURE(quota_fixture,
                  "customer_quota: eight hosts, five times the rate: stays within rate, burst and a tenth")
{
    start(8);
    run(5 * rate, seconds{20}, 7);
    CHECK(most_in(seconds{5}) <= static_cast<std::size_t>((rate * 5 + burst) * 1.1 + 20));
    CHECK(most_in(seconds{5}) >= static_cast<std::size_t>(rate * 5 * 0.8));
}

// Guards against refusals within the rate because callers are spread unevenly over the hosts.
TEST_CASE_FIXTURE(quota_fixture, "customer_quota: eight hosts, 0.6 of the rate: refuses at most one in a hundred")
{
    start(8);
    run(0.6 * rate, seconds{60}, 11);
    CHECK(refused <= 13);
}

// Guards against refusals of a small customer, whose even share of a host is about one request.
TEST_CASE_FIXTURE(quota_fixture,
                  "customer_quota: small customer, eight hosts, 0.6 of the rate: refuses at most one in a hundred")
{
    constexpr double small_rate = 11;
    start(8, true, small_rate);
    run_at_random(0.6 * small_rate, seconds{120}, 5);
    CHECK(refused <= 8);
}

// Guards against a surge over the rate while hosts do not hear one another.
TEST_CASE_FIXTURE(quota_fixture, "customer_quota: hosts that hear nothing: keep to their even shares")
{
    start(6, false);
    std::mt19937 random{3};
    for (auto now = test_start; now < test_start + seconds{20}; now += milliseconds{5}) {
        if (!hosts[random() % hosts.size()].admit(customer, now)) {
            admitted.push_back(now);
        }
    }
    CHECK(most_in(seconds{5}) <= static_cast<std::size_t>((rate * 5 + burst) * 1.1 + 20));
}

TEST_CASE_FIXTURE(quota_fixture, "customer_quota: refused: says when to come again")
{
    start(1);
    kernel::duration wait{};
    for (int count = 0; count < 60; ++count) {
        if (const auto told_wait = hosts[0].admit(customer, test_start)) {
            wait = *told_wait;
        }
    }
    REQUIRE(wait > kernel::duration::zero());
    CHECK_FALSE(hosts[0].admit(customer, test_start + wait));
}

} // namespace wisterialane::proxy
