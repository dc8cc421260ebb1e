#include "libraries/proxy/stop_plan.h"
#include "tests/proxy/proxy_fixture.h"

#include <doctest/doctest.h>

namespace wisterialane::proxy {

// Guards against requests that are accepted after SIGTERM and aborted by the kill: they arrived 3.26 and 4.4 s into a
// grace period of 6 s, and waited in their upstream's queue for longer than usual.
TEST_CASE("stop_plan: request whose deadline is after the end of the grace period: is refused")
{
    stop_plan plan;
    CHECK(plan.accepts_request(test_start + seconds{60}));
    plan.begin(test_start, seconds{6});
    CHECK(plan.accepts_request(test_start + milliseconds{5690}));
    CHECK_FALSE(plan.accepts_request(test_start + milliseconds{5700}));
    CHECK_FALSE(plan.accepts_request(test_start + milliseconds{7500}));
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
