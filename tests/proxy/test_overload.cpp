#include "tests/proxy/overload_emulation.h"

#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

/// Requests with little time must be served at least this often, relative to the others.
constexpr double minimum_relative_service = 0.25;
/// Fraction of the upstreams' slot time that must serve callers while the service is overloaded.
constexpr double minimum_useful_fraction = 0.9;

} // namespace

// Guards against an added route that is not served (seen on asiis-gw): the requests of all hosts together filled the
// queues of an overloaded service's upstreams, and those with a second left never got a response.
TEST_CASE("overload: requests with little time left: are served at least a quarter as often as the others")
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        for (const double first_host_fraction : {0.34, 0.8}) {
            CAPTURE(seed);
            CAPTURE(first_host_fraction);
            overload_options options;
            options.seed = seed;
            options.first_host_fraction = first_host_fraction;
            overload_emulation emulation{options};
            emulation.run(seconds{50});
            REQUIRE(emulation.short_requests().sent > 500);
            CHECK(emulation.short_requests().served_fraction() >=
                  minimum_relative_service * emulation.long_requests().served_fraction());
            CHECK(emulation.useful_fraction() >= minimum_useful_fraction);
        }
    }
}

// Guards against slots that stay empty because each host keeps to its part of a service with small upstreams.
TEST_CASE("overload: many hosts and upstreams with two slots: the slots are used")
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        overload_options options;
        options.seed = seed;
        options.active_hosts = 6;
        options.standby_hosts = 30;
        options.first_host_fraction = 0.17;
        options.upstreams = 8;
        options.slots = 2;
        options.upstream_queue_length = 8;
        options.mean_execution_time = milliseconds{190};
        options.long_timeout = milliseconds{2200};
        options.long_requests_per_second = 110;
        overload_emulation emulation{options};
        emulation.run(seconds{50});
        CHECK(emulation.useful_fraction() >= minimum_useful_fraction);
    }
}

} // namespace wisterialane::proxy
