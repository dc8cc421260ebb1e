#include "libraries/proxy/upstream_health.h"
#include "tests/proxy/proxy_fixture.h"

#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

/// When the other hosts report in `reported_by_two_hosts`.
constexpr auto reported_at = test_start + seconds{2};

/// Returns the health after two other hosts have reported this outcome; the upstream may have answered this host at the
/// start.
upstream_health reported_by_two_hosts(exchange_outcome outcome, bool has_answered)
{
    upstream_health health;
    if (has_answered) {
        health.record(exchange_outcome::good, test_start);
    }
    health.record_report(kernel::host_name{"one"}, outcome, reported_at);
    health.record_report(kernel::host_name{"two"}, outcome, reported_at);
    return health;
}

} // namespace

// Guards against a failing upstream that is released early, because many are suspected, and then gets every trial: a
// failed trial did not count before the end of the ejection time.
TEST_CASE("upstream_health: failure on an early trial: is ejected again")
{
    upstream_health health;
    for (int failure = 0; failure < 4; ++failure) {
        health.record(exchange_outcome::broken, test_start);
    }
    const auto trial = test_start + milliseconds{1600};
    health.record(exchange_outcome::broken, trial);
    CHECK(health.suspected_since() == trial);
    CHECK(health.state(trial + milliseconds{1400}) == trust::suspected);
}

TEST_CASE("upstream_health: good answer on trial: is trusted")
{
    upstream_health health;
    health.record(exchange_outcome::broken, test_start);
    REQUIRE(health.state(test_start + seconds{1}) == trust::suspected);
    REQUIRE(health.state(test_start + seconds{4}) == trust::trial);
    health.record(exchange_outcome::good, test_start + seconds{4});
    CHECK(health.state(test_start + seconds{4}) == trust::trusted);
}

// Guards against ejection for the errors of healthy upstreams, about one answer in a hundred.
TEST_CASE("upstream_health: single error among good answers: stays trusted")
{
    upstream_health health;
    for (int round = 0; round < 5; ++round) {
        const auto now = test_start + seconds{4 * round};
        health.record(exchange_outcome::error, now);
        CHECK(health.state(now) == trust::trusted);
        health.record(exchange_outcome::good, now + seconds{1});
    }
}

// Guards against upstreams that have recovered and get no requests for up to ten seconds (seen on asiis-gw-grown): the
// ejection time grew with each failed trial.
TEST_CASE("upstream_health: repeated failures: the next trial is due within four seconds each time")
{
    upstream_health health;
    auto now = test_start;
    for (int round = 0; round < 6; ++round) {
        health.record(exchange_outcome::broken, now);
        CHECK(health.state(now + minimum_ejection_time) == trust::suspected);
        now += seconds{4};
        CHECK(health.state(now) == trust::trial);
    }
}

// Guards against an upstream that nobody uses because some hosts cannot reach it (seen on kndw-gateway-grown).
TEST_CASE("upstream_health: connection failed on one host: is suspected there alone")
{
    upstream_health there;
    there.record(exchange_outcome::connect_failed, test_start);
    CHECK(there.state(test_start) == trust::suspected);
    CHECK(there.state(test_start + unreachable_time) == trust::trial);
    there.record(exchange_outcome::good, test_start + unreachable_time);
    CHECK(there.state(test_start + unreachable_time) == trust::trusted);
    upstream_health here;
    here.record_report(kernel::host_name{"there"}, exchange_outcome::connect_failed, test_start);
    here.record_report(kernel::host_name{"there"}, exchange_outcome::connect_failed, test_start + seconds{1});
    CHECK(here.state(test_start + seconds{1}) == trust::trusted);
}

// Guards against failed connections of each host to an upstream that has crashed.
TEST_CASE("upstream_health: two other hosts cannot connect: is suspected unless it has just answered this host")
{
    for (const bool has_answered : {false, true}) {
        CAPTURE(has_answered);
        auto health = reported_by_two_hosts(exchange_outcome::connect_failed, has_answered);
        CHECK(health.state(reported_at) == (has_answered ? trust::trusted : trust::suspected));
        health.record_report(kernel::host_name{"one"}, exchange_outcome::good, reported_at + seconds{1});
        CHECK(health.state(reported_at + seconds{1}) == trust::trusted);
    }
}

// Guards against a host that connects again and again to an upstream that only the other hosts reach.
TEST_CASE("upstream_health: connection failed on this host, good answer on another: stays suspected here")
{
    upstream_health health;
    health.record(exchange_outcome::connect_failed, test_start);
    health.record_report(kernel::host_name{"there"}, exchange_outcome::good, test_start + seconds{1});
    CHECK(health.state(test_start + seconds{1}) == trust::suspected);
}

// Guards against healthy upstreams that all hosts eject, because some hosts lost the path to them with requests in
// flight (seen on kndw-gateway-grown).
TEST_CASE("upstream_health: timeouts on other hosts: count unless the upstream has just answered this host")
{
    for (const bool has_answered : {false, true}) {
        CAPTURE(has_answered);
        auto health = reported_by_two_hosts(exchange_outcome::timed_out, has_answered);
        CHECK(health.state(reported_at) == (has_answered ? trust::trusted : trust::suspected));
        health.record(exchange_outcome::timed_out, reported_at);
        CHECK(health.state(reported_at) == trust::suspected);
    }
}

// Guards against a host without requests of its own that takes other hosts' lost paths for a silent upstream.
TEST_CASE(
    "upstream_health: timeout on one host, then a good answer on another: is trusted at once, and while it is new")
{
    upstream_health health;
    health.record_report(kernel::host_name{"one"}, exchange_outcome::timed_out, test_start);
    CHECK(health.state(test_start) == trust::suspected);
    CHECK(health.is_disputed(test_start));
    const auto answered = test_start + milliseconds{300};
    health.record_report(kernel::host_name{"two"}, exchange_outcome::good, answered);
    CHECK(health.state(answered) == trust::trusted);
    CHECK_FALSE(health.is_disputed(answered));
    health.record_report(kernel::host_name{"one"}, exchange_outcome::timed_out, answered + seconds{1});
    CHECK(health.state(answered + seconds{1}) == trust::trusted);
    health.record_report(kernel::host_name{"one"}, exchange_outcome::timed_out, answered + seconds{5});
    CHECK(health.state(answered + seconds{5}) == trust::suspected);
}

// Guards against ejection of healthy upstreams by hosts whose only request times out in a queue that others have
// filled.
TEST_CASE("upstream evidence: timeout on a standby host: is not shared")
{
    CHECK_FALSE(should_share_evidence(exchange_outcome::timed_out, false, false));
    CHECK(should_share_evidence(exchange_outcome::timed_out, false, true));
    CHECK(should_share_evidence(exchange_outcome::broken, false, false));
    CHECK_FALSE(should_share_evidence(exchange_outcome::shed, false, true));
}

// Guards against hosts that each learn by a trial of their own that an upstream has recovered.
TEST_CASE("upstream evidence: good answer: is shared if it is unexpected")
{
    CHECK(should_share_evidence(exchange_outcome::good, true, true));
    CHECK(should_share_evidence(exchange_outcome::good, true, false));
    CHECK_FALSE(should_share_evidence(exchange_outcome::good, false, true));
}

} // namespace wisterialane::proxy
