#include "libraries/proxy/attempt_plan.h"

#include <doctest/doctest.h>

namespace wisterialane::proxy {

// Guards against a hedge whose timer was started before a retry: the request would run on one upstream more than its
// route allows.
TEST_CASE("attempt_plan: retry after an error, two upstreams allowed: no hedge in parallel")
{
    attempt_plan plan{2, true};
    plan.record_start();
    CHECK(plan.may_hedge());
    plan.record_end(exchange_end::response_received, false);
    REQUIRE(plan.may_retry());
    plan.record_start();
    CHECK_FALSE(plan.may_hedge());
    plan.record_end(exchange_end::response_received, false);
    CHECK_FALSE(plan.may_retry());
}

// Guards against running a request for a certificate or a claim twice.
TEST_CASE("attempt_plan: non-idempotent request, connection closed: is not sent again")
{
    attempt_plan plan{3, false};
    plan.record_start();
    plan.record_end(exchange_end::closed, false);
    CHECK(plan.may_have_run());
    CHECK_FALSE(plan.may_retry());
}

TEST_CASE("attempt_plan: non-idempotent request, refused without running: is sent again")
{
    attempt_plan plan{2, false};
    plan.record_start();
    plan.record_end(exchange_end::response_received, true);
    CHECK_FALSE(plan.may_have_run());
    CHECK(plan.may_retry());
    CHECK(plan.retry_uses_budget());
    CHECK_FALSE(plan.may_hedge());
}

TEST_CASE("attempt_plan: failed connections: use no retry budget and are limited to four")
{
    attempt_plan plan{1, false};
    for (int failure = 0; failure < 4; ++failure) {
        REQUIRE(plan.may_retry());
        plan.record_start();
        plan.record_end(exchange_end::not_connected, true);
        CHECK_FALSE(plan.retry_uses_budget());
    }
    CHECK_FALSE(plan.may_retry());
    CHECK_FALSE(plan.may_have_run());
}

// Guards against reporting a request as not run that was cancelled while an upstream worked on it.
TEST_CASE("attempt_plan: cancelled after bytes were sent: may have run")
{
    attempt_plan plan{2, true};
    plan.record_start();
    plan.record_cancel(true);
    CHECK(plan.may_have_run());
}

} // namespace wisterialane::proxy
