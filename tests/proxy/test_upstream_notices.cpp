#include "tests/proxy/host_fixture.h"

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
    run_until([this] {
        REQUIRE(call(get_request("r"))->status == 200);
        return !speaking.received.empty();
    });
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
    run_until([this] {
        REQUIRE(call(get_request("r"))->status == 200);
        return !speaking.received.empty();
    });
    call_for(std::chrono::milliseconds{1200});
    CHECK(speaking.received.size() == 1);
    refuses = false;
    headers.clear();
    call_for(std::chrono::milliseconds{800});
    CHECK(speaking.received.size() > 2);
}

} // namespace wisterialane::proxy
