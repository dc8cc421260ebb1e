#include "libraries/proxy/stop_plan.h"
#include "tests/proxy/proxy_fixture.h"

#include <doctest/doctest.h>

namespace wisterialane::proxy {

// Guards against a request that is accepted late after SIGTERM and aborted by the kill: it arrived 4.4 s into a grace
// period of 6 s, and its service has a typical latency of 0.63 s.
TEST_CASE("stop_plan: slow request late in the grace period: is refused")
{
    stop_plan plan;
    plan.begin(test_start, seconds{6});
    CHECK(plan.accepts_request(test_start + milliseconds{2900}, milliseconds{630}));
    CHECK_FALSE(plan.accepts_request(test_start + milliseconds{4387}, milliseconds{630}));
}

// Guards against an aborted request that arrived 3.26 s into the grace period and waited in its upstream's queue
// for 2.3 s.
TEST_CASE("stop_plan: slow request in the second half of the grace period: is refused")
{
    stop_plan plan;
    plan.begin(test_start, seconds{6});
    CHECK_FALSE(plan.accepts_request(test_start + milliseconds{3262}, milliseconds{600}));
    CHECK(plan.accepts_request(test_start + milliseconds{3262}, milliseconds{65}));
}

TEST_CASE("stop_plan: fast request: is accepted until shortly before the kill")
{
    stop_plan plan;
    plan.begin(test_start, seconds{6});
    CHECK(plan.accepts_request(test_start + milliseconds{5000}, milliseconds{65}));
    CHECK_FALSE(plan.accepts_request(test_start + milliseconds{5100}, milliseconds{65}));
}

TEST_CASE("stop_plan: second stop request: the first one sets the times")
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
