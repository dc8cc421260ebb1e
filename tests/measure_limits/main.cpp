// Compares shares with loans against an equal split over hosts, on the same generated arrivals. Prints
// `measure NAME VALUE UNIT` lines.

#include "libraries/limits/token_bucket.h"
#include "tests/limits/simulated_fleet.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

namespace wisterialane::limits {
namespace {

constexpr std::size_t host_count = 40;
constexpr std::size_t customer_count = 10;
constexpr std::uint32_t seed = 20261204;
/// Shares are unusable until the first version has settled.
constexpr double warm_up_seconds = 10;
constexpr double measured_seconds = 60;
constexpr double offered_part = 0.8;

/// `spread`: evenly over all hosts. `steered`: evenly over the customer's homes, as callers are told. `skewed`: all on
/// one host. `host_killed`: steered, in the ten seconds after a home is killed.
enum class arrival_pattern { spread, steered, skewed, host_killed };

struct totals {
    std::size_t requests = 0;
    std::size_t refused_by_loans = 0;
    std::size_t refused_by_split = 0;
    double excess_of_loans = 0;
};

kernel::time_point at(double seconds)
{
    return kernel::time_point{} +
           std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double>{1000 + seconds});
}

token_bucket make_bucket(const capacity& limit)
{
    token_bucket bucket{at(0)};
    bucket.set_capacity(limit, at(0));
    return bucket;
}

// A few customers are large, as in today's deployments.
capacity limit_of(std::size_t customer)
{
    const auto rate = customer < 3 ? 400.0 : 100.0;
    return {rate, rate};
}

std::vector<double> weights_of(arrival_pattern pattern, std::size_t customer, const simulated_fleet& fleet)
{
    if (pattern == arrival_pattern::spread) {
        return std::vector<double>(host_count, 1);
    }
    std::vector<double> weights(host_count, 0);
    if (pattern == arrival_pattern::skewed) {
        weights[customer * 4] = 1;
        return weights;
    }
    for (std::size_t host = 0; host < host_count; ++host) {
        weights[host] = fleet.is_home(host) ? 1 : 0;
    }
    return weights;
}

void measure_customer(arrival_pattern pattern, std::size_t customer, totals& result)
{
    const auto limit = limit_of(customer);
    const auto share = capacity{limit.rate_per_second / host_count, limit.burst / host_count};
    auto whole = make_bucket(limit);
    std::vector<token_bucket> split(host_count, make_bucket(share));
    simulated_fleet fleet{seed + static_cast<std::uint32_t>(customer), host_count, limit, {}};
    fleet.observe_requests([&](std::size_t host, double arrived, admission_outcome outcome) {
        const auto now = at(arrived);
        // A request is within the rate if one bucket for the whole fleet admits it.
        const auto within = whole.try_take(now);
        const auto split_admits = split[host].try_take(now);
        if (!within || arrived < warm_up_seconds) {
            return;
        }
        ++result.requests;
        result.refused_by_loans += outcome == admission_outcome::refused ? 1 : 0;
        result.refused_by_split += split_admits ? 0 : 1;
    });
    auto weights = weights_of(pattern, customer, fleet);
    const auto offered = limit.rate_per_second * offered_part;
    if (pattern != arrival_pattern::host_killed) {
        fleet.run(warm_up_seconds + measured_seconds, offered, weights);
    }
    else {
        fleet.run(warm_up_seconds, offered, weights);
        // Killing a home costs the customer more than killing any other host.
        std::size_t home = 0;
        while (!fleet.is_home(home)) {
            ++home;
        }
        fleet.kill(home);
        weights[home] = 0;
        fleet.run(10, offered, weights);
    }
    result.excess_of_loans = std::max(result.excess_of_loans, fleet.worst_excess());
}

void print(const std::string& name, double value, const std::string& unit)
{
    std::cout << "measure " << name << ' ' << value << ' ' << unit << '\n';
}

void measure(const std::string& name, arrival_pattern pattern)
{
    totals result;
    for (std::size_t customer = 0; customer < customer_count; ++customer) {
        measure_customer(pattern, customer, result);
    }
    const auto requests = static_cast<double>(result.requests);
    print(name + "_requests_within_rate", requests, "requests");
    print(name + "_refused_within_rate_split", 100 * static_cast<double>(result.refused_by_split) / requests, "%");
    print(name + "_refused_within_rate_loans", 100 * static_cast<double>(result.refused_by_loans) / requests, "%");
    print(name + "_admitted_above_limit_loans", result.excess_of_loans, "requests");
}

} // namespace
} // namespace wisterialane::limits

int main()
{
    using wisterialane::limits::arrival_pattern;
    wisterialane::limits::measure("spread", arrival_pattern::spread);
    wisterialane::limits::measure("steered", arrival_pattern::steered);
    wisterialane::limits::measure("skewed", arrival_pattern::skewed);
    wisterialane::limits::measure("host_killed", arrival_pattern::host_killed);
    return 0;
}
