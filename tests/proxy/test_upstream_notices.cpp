#include "tests/proxy/host_fixture.h"
#include "tests/proxy/proxy_fixture.h"

#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

/// One host with two upstreams, of which the first says something of itself in its responses.
struct notice_fixture : host_fixture {
    std::string headers;
    scripted_upstream& speaking =
        add_upstream("u1", [this](const http_request& request) { return scripted_response{respond(request)}; });
    scripted_upstream& silent = add_upstream(
        "u2", [](const http_request& request) { return scripted_response{signed_response(request, "ok")}; });
    bool refuses = false;

    std::string respond(const http_request& request) const
    {
        return refuses ? not_executed_response(request, 503, headers) : signed_response(request, "ok", 200, headers);
    }

    /// Sends requests one after the other until the speaking upstream has responded to one; all must be served.
    void call_until_heard()
    {
        run_until([this] {
            REQUIRE(call(get_request("r"))->status == 200);
            return !speaking.received.empty();
        });
    }

    /// Sends requests one after the other for this time; all must be served.
    void call_for(std::chrono::milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        for (int count = 0; std::chrono::steady_clock::now() < end; ++count) {
            REQUIRE(call(get_request("r" + std::to_string(count)))->status == 200);
        }
    }
};

} // namespace

// Guards against a violation of LIMIT (seen on asiis-gw): an upstream in need named the requests per second that it
// takes and received those of an upstream without a limit.
TEST_CASE_FIXTURE(notice_fixture,
                  "upstream notices: an upstream names a limit of one request a second: is sent at most "
                  "that, until it names none" *
                      doctest::may_fail())
{
    headers = "X-Limit: 1.0\r\n";
    start();
    call_for(std::chrono::milliseconds{200});
    const auto told = speaking.received.size();
    call_for(std::chrono::milliseconds{2500});
    CHECK(speaking.received.size() - told <= 3);
    CHECK(speaking.received.size() - told >= 2);
    headers.clear();
    call_for(std::chrono::milliseconds{1500});
    CHECK(speaking.received.size() - told > 20);
}

// Guards against a violation of DRAIN: an upstream said in its responses that it leaves, and received requests until
// its entry in the store said so as well.
TEST_CASE_FIXTURE(notice_fixture,
                  "upstream notices: an upstream says that it leaves: its next response is the last one")
{
    headers = "X-Leaving: 1\r\n";
    start();
    call_until_heard();
    call_for(std::chrono::milliseconds{500});
    CHECK(speaking.received.size() == 1);
}

// Guards against a violation of BUDGET: an upstream that had turned a request away, with the time for which it wants
// none, received the next one after 150 ms.
TEST_CASE_FIXTURE(notice_fixture,
                  "upstream notices: an upstream refuses and names a time: receives no request within it")
{
    refuses = true;
    headers = "Retry-After: 1.5\r\n";
    start();
    call_until_heard();
    call_for(std::chrono::milliseconds{1200});
    CHECK(speaking.received.size() == 1);
    refuses = false;
    headers.clear();
    call_for(std::chrono::milliseconds{800});
    CHECK(speaking.received.size() > 2);
}

// Guards against callers that return before any upstream takes their request.
TEST_CASE_FIXTURE(host_fixture, "upstream notices: all upstreams refuse and name a time: callers are told the earliest")
{
    const auto refuse_for = [](const std::string& wait) {
        return [wait](const http_request& request) {
            return scripted_response{not_executed_response(request, 503, "Retry-After: " + wait + "\r\n")};
        };
    };
    add_upstream("u1", refuse_for("30"));
    add_upstream("u2", refuse_for("5"));
    start();
    run_until([this] { return call(post_request("r1", "x"))->status == 503 && received_count() == 2; });
    const auto caller = call(post_request("r2", "x"));
    CHECK(caller->status == 503);
    CHECK(std::stod(std::string{caller->headers["Retry-After"]}) > 3);
    CHECK(std::stod(std::string{caller->headers["Retry-After"]}) <= 5);
    CHECK(received_count() == 2);
}

// Guards against an upstream whose wishes are forgotten: its entry expired while it was cut off from the store, and
// came back.
TEST_CASE_FIXTURE(balancer_fixture,
                  "upstream notices: entry expires and reappears: what the process said holds, a new one starts afresh")
{
    add_upstreams(4);
    directory.mark_draining(kernel::upstream_name{"here0"}, leaving_source::response);
    directory.close_until(kernel::upstream_name{"here1"}, 1, now + seconds{30});
    directory.record_notice(kernel::upstream_name{"here2"}, {1, false, 0.0}, now, now);
    const std::vector<upstream_record> records{make_upstream("here0"), make_upstream("here1"), make_upstream("here2"),
                                               make_upstream("here3")};
    directory.replace_all({}, now);
    now += seconds{5};
    directory.replace_all(records, now);
    for (int count = 0; count < 8; ++count) {
        const auto chosen = balancer.choose(request, now);
        REQUIRE(chosen);
        CHECK((*chosen)->record.id == kernel::upstream_name{"here3"});
        (*chosen)->last_request_at = now;
    }
    for (const auto* id : {"here0", "here1", "here2"}) {
        auto restarted = make_upstream(id);
        restarted.started_at_ms = 2;
        directory.update(restarted, now);
        CHECK_FALSE(upstream_by_id(id).draining);
        CHECK(upstream_by_id(id).closed_until < now);
        CHECK_FALSE(upstream_by_id(id).rate_limit.applies(now));
    }
}

// Guards against a request to an upstream that leaves (DRAIN): a host that had not read the upstream's entry yet
// dropped what another host reported, and then read that it is ready.
TEST_CASE_FIXTURE(balancer_fixture,
                  "upstream notices: report that an upstream leaves before its entry: it gets no request")
{
    auto record = make_upstream("new0");
    record.started_at_ms = 7;
    directory.record_reported_notice(record.id, {7, true, std::nullopt}, now);
    directory.update(record, now);
    CHECK_FALSE(directory.takes_work(record.id, 7));
    record.started_at_ms = 8;
    directory.update(record, now);
    CHECK(directory.takes_work(record.id, 8));
}

} // namespace wisterialane::proxy
