#include "libraries/proxy/stop_plan.h"
#include "tests/proxy/proxy_fixture.h"

#include <doctest/doctest.h>

namespace wisterialane::proxy {

// Guards against a request that is taken late after SIGTERM and cut by the kill: it came 4.4 s into a grace of 6 s, and
// its service usually takes 0.63 s.
TEST_CASE("stop_plan: slow request late in the grace: is not taken")
{
    stop_plan plan;
    plan.begin(test_start, seconds{6});
    CHECK(plan.accepts_request(test_start + milliseconds{2900}, milliseconds{630}));
    CHECK_FALSE(plan.accepts_request(test_start + milliseconds{4387}, milliseconds{630}));
}

// Guards against the same for a request that came 3.26 s into the grace and waited in its upstream's queue for 2.3 s.
TEST_CASE("stop_plan: slow request in the second half of the grace: is not taken")
{
    stop_plan plan;
    plan.begin(test_start, seconds{6});
    CHECK_FALSE(plan.accepts_request(test_start + milliseconds{3262}, milliseconds{600}));
    CHECK(plan.accepts_request(test_start + milliseconds{3262}, milliseconds{65}));
}

TEST_CASE("stop_plan: quick request: is taken until shortly before the kill")
{
    stop_plan plan;
    plan.begin(test_start, seconds{6});
    CHECK(plan.accepts_request(test_start + milliseconds{5000}, milliseconds{65}));
    CHECK_FALSE(plan.accepts_request(test_start + milliseconds{5100}, milliseconds{65}));
}

TEST_CASE("stop_plan: second request to stop: the first counts")
{
    stop_plan plan;
    CHECK_FALSE(plan.stopping());
    CHECK_FALSE(plan.must_end(test_start));
    plan.begin(test_start, seconds{6});
    plan.begin(test_start + seconds{5}, seconds{6});
    CHECK_FALSE(plan.accepts_connections(test_start + milliseconds{4500}));
    CHECK(plan.must_end(test_start + milliseconds{5700}));
}

} // namespace wisterialane::proxy
