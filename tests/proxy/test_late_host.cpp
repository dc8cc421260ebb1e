#include "libraries/proxy/admission/late_loop.h"
#include "libraries/proxy/membership/evidence_outbox.h"
#include "tests/proxy/host_fixture.h"
#include "tests/proxy/proxy_fixture.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

/// Returns the delay of an event loop that has been late by this much for some seconds.
event_loop_delay late_by(kernel::duration delay)
{
    event_loop_delay result;
    for (int sample = 0; sample < 20; ++sample) {
        result.record(delay, test_start + seconds{sample});
    }
    return result;
}

scripted_response respond_ok(const http_request& request)
{
    return {signed_response(request, "ok")};
}

} // namespace

TEST_CASE("refusal_of_late_loop: event loop not late: refuses nothing, however little time remains")
{
    CHECK_FALSE(refusal_of_late_loop(late_by(milliseconds{90}), seconds{3}, milliseconds{1}));
}

// Guards against a request that is passed on, runs, and whose response comes after its deadline.
TEST_CASE("refusal_of_late_loop: a response in time cannot be expected: refuses with a wait that callers honour")
{
    const auto late = late_by(seconds{1});
    CHECK_FALSE(refusal_of_late_loop(late, milliseconds{200}, seconds{4}));
    const auto wait = refusal_of_late_loop(late, milliseconds{200}, milliseconds{2100});
    REQUIRE(wait);
    CHECK(*wait >= milliseconds{300});
    CHECK(*wait <= milliseconds{700});
    CHECK(refusal_of_late_loop(late, seconds{3}, seconds{4}).has_value());
}

// Guards against a request that is held past its route's timeout, because the timer that ends it expires late.
TEST_CASE("late_loop_reserve: late event loop: requests end earlier, by a quarter of their time at most")
{
    CHECK(late_loop_reserve(late_by(milliseconds{90}), seconds{4}) == kernel::duration::zero());
    const auto reserve = late_loop_reserve(late_by(milliseconds{300}), seconds{4});
    CHECK(reserve > milliseconds{580});
    CHECK(reserve < milliseconds{620});
    CHECK(late_loop_reserve(late_by(seconds{5}), seconds{4}) == seconds{1});
}

// Guards against a datagram to every host for each failure (CONFIG and DRAIN, seen on hallowmere-gw-grown): the links
// of weak hosts were full, and what the store reader relayed was lost.
TEST_CASE("evidence_outbox: many failures: one message per interval; notices and a full message at once")
{
    std::vector<std::size_t> sent;
    std::vector<kernel::duration> timers;
    evidence_outbox outbox{[&sent](const auto& evidence) { sent.push_back(evidence.size()); },
                           [&timers](auto delay) { timers.push_back(delay); }};
    auto now = test_start + seconds{100};
    const milliseconds interval{250};
    shared_evidence failure{kernel::upstream_name{"u"}, exchange_outcome::broken, 0, std::nullopt};
    outbox.add({failure}, now, interval);
    CHECK(sent == std::vector<std::size_t>{1});
    now += milliseconds{50};
    outbox.add({failure}, now, interval);
    outbox.add({failure}, now, interval);
    CHECK(sent.size() == 1);
    CHECK(timers == std::vector<kernel::duration>{milliseconds{200}});
    now += milliseconds{200};
    outbox.flush(now);
    outbox.flush(now);
    CHECK(sent == std::vector<std::size_t>{1, 2});
    for (std::size_t count = 0; count < evidence_outbox::maximum_batch; ++count) {
        outbox.add({failure}, now, interval);
    }
    CHECK(sent == std::vector<std::size_t>{1, 2, evidence_outbox::maximum_batch});
    outbox.add({failure}, now, interval);
    failure.notice = upstream_notice{1, true, std::nullopt};
    outbox.add({failure}, now, interval);
    CHECK(sent == std::vector<std::size_t>{1, 2, evidence_outbox::maximum_batch, 2});
}

TEST_CASE("evidence_outbox: failures for one second: at most one message per usual interval, none lost")
{
    std::vector<kernel::time_point> sent;
    std::size_t pieces = 0;
    auto now = test_start + seconds{100};
    std::optional<kernel::time_point> due;
    evidence_outbox outbox{[&](const auto& evidence) {
                               sent.push_back(now);
                               pieces += evidence.size();
                           },
                           [&](auto delay) { due = now + delay; }};
    for (int count = 0; count < 100; ++count, now += milliseconds{10}) {
        if (due && now >= *due) {
            due.reset();
            outbox.flush(now);
        }
        outbox.add({{kernel::upstream_name{"u"}, exchange_outcome::broken, 0, std::nullopt}}, now);
    }
    outbox.flush(now);
    CHECK(pieces == 100);
    CHECK(sent.size() <= 11);
}

// Guards against the same on a whole host, and against a failure that is not reported.
TEST_CASE_FIXTURE(host_fixture, "proxy_host: forty upstreams fail within a second: few messages report them all")
{
    for (int count = 0; count < 40; ++count) {
        add_upstream("u" + std::to_string(count), [](const auto&) { return scripted_response{{}, true}; });
    }
    start();
    std::size_t messages = 0;
    std::set<kernel::upstream_name> reported;
    const auto peer = add_peer([&](const kernel::result<peer_message>& received) {
        REQUIRE(received);
        messages += received->evidence.empty() ? 0 : 1;
        for (const auto& each : received->evidence) {
            reported.insert(each.upstream);
        }
    });
    peer.channel->send(peer.message, {settings.self.peer_address});
    run_until([this] { return host->peers().peers().size() == 1; });
    const auto begin = std::chrono::steady_clock::now();
    for (int count = 0; count < 40; ++count) {
        call(post_request("r" + std::to_string(count), "body " + std::to_string(count)));
    }
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    run_until([&] { return reported.size() == received_count() || messages >= 40; });
    CHECK(reported.size() > 30);
    // One more, and full ones beside those of each interval.
    CHECK(messages <= 2 + elapsed / evidence_outbox::usual_interval + reported.size() / evidence_outbox::maximum_batch);
}

TEST_CASE_FIXTURE(host_fixture, "proxy_host: event loop late by a second, request with 1.5 s left: 503, not passed on")
{
    auto& upstream = add_upstream("u1", respond_ok);
    start();
    REQUIRE(call(get_request("r1"))->status == 200);
    for (int sample = 0; sample < 20; ++sample) {
        host->environment().loop_delay.record(seconds{1}, kernel::boot_clock::now() + seconds{sample});
    }
    const auto refused = call(get_request("r2"));
    CHECK(refused->status == 503);
    REQUIRE(refused->headers.count("Retry-After") == 1);
    CHECK(std::stod(std::string{refused->headers["Retry-After"]}) <= 0.5);
    CHECK(upstream.received.size() == 1);
    // Readiness is about what the host can serve, not about when.
    CHECK(readiness() == 200);
}

// Guards against a timer that ends a request only after the timeout: here the loop is late by 0.1 to 0.2 s all the
// time.
TEST_CASE_FIXTURE(host_fixture, "proxy_host: late event loop, upstream never responds: 504 within the caller's time")
{
    add_upstream("u1", [](const auto&) { return scripted_response{{}, false, true}; });
    start();
    for (int sample = 0; sample < 20; ++sample) {
        host->environment().loop_delay.record(milliseconds{160}, kernel::boot_clock::now() + seconds{sample});
    }
    const auto sent_at = std::chrono::steady_clock::now();
    const auto caller = call(get_request("r1"));
    CHECK(caller->status == 504);
    CHECK(std::chrono::steady_clock::now() - sent_at < milliseconds{1500});
}

// Guards against a request that is held for long past its timeout on a host that gets processor time in short slices:
// its timer waits like everything else.
TEST_CASE_FIXTURE(host_fixture,
                  "proxy_host: event loop blocked for 0.3 s again and again: an answer within 0.5 s of the timeout")
{
    add_upstream("u1", [](const auto&) { return scripted_response{{}, false, true}; });
    start();
    one_shot_timer blocking{context.get_executor()};
    const std::function<void()> block = [&blocking, &block] {
        std::this_thread::sleep_for(milliseconds{300});
        blocking.start(milliseconds{10}, block);
    };
    block();
    context.run_for(seconds{3});
    CHECK(host->environment().loop_delay.is_late());
    for (int repeat = 0; repeat < 3; ++repeat) {
        const auto sent_at = std::chrono::steady_clock::now();
        const auto caller = call(post_request("r" + std::to_string(repeat), "x"));
        CHECK((caller->status == 504 || caller->status == 503));
        CHECK(std::chrono::steady_clock::now() - sent_at < milliseconds{2000});
        CHECK(readiness() == 200);
    }
}

// Guards against responses that have arrived and wait behind the requests that were read before them.
TEST_CASE("begin_after_ready_work: other work is ready: it runs first, then the request begins")
{
    io_context context{1};
    std::vector<std::string> order;
    const auto exchange = std::make_shared<caller_exchange>(nullptr, http_request{}, test_start);
    boost::asio::post(context, [&] {
        begin_after_ready_work(context, exchange, [&order](const auto&) { order.emplace_back("request"); });
        order.emplace_back("read");
    });
    boost::asio::post(context, [&order] { order.emplace_back("response"); });
    context.poll();
    CHECK(order == std::vector<std::string>{"read", "response", "request"});
}

} // namespace wisterialane::proxy
