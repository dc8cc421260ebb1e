#include "libraries/proxy/one_shot_timer.h"
#include "tests/proxy/proxy_fixture.h"

#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

constexpr milliseconds delay{5};

/// Two timers of one event loop. `first` expires before `second`, so its function runs while the expiry of `second` is
/// already queued when the loop is late.
class timer_fixture {
public:
    /// Runs the event loop only when both timers are due.
    void run_late()
    {
        std::this_thread::sleep_for(4 * delay);
        context.run();
    }

    io_context context{1};
    one_shot_timer first{context.get_executor()};
    std::optional<one_shot_timer> second{std::in_place, context.get_executor()};
    std::string calls;
};

} // namespace

TEST_CASE_FIXTURE(timer_fixture, "one_shot_timer: nothing intervenes: calls its function once")
{
    first.start(delay, [this] { calls += "1"; });
    run_late();
    CHECK(calls == "1");
}

TEST_CASE_FIXTURE(timer_fixture, "one_shot_timer: cancelled when its expiry is queued: does not call")
{
    first.start(delay, [this] { second->cancel(); });
    second->start(2 * delay, [this] { calls += "2"; });
    run_late();
    CHECK(calls.empty());
}

TEST_CASE_FIXTURE(timer_fixture,
                  "one_shot_timer: started again when its expiry is queued: calls the new function alone")
{
    first.start(delay, [this] { second->start(delay, [this] { calls += "new"; }); });
    second->start(2 * delay, [this] { calls += "old"; });
    run_late();
    CHECK(calls == "new");
}

TEST_CASE_FIXTURE(timer_fixture, "one_shot_timer: destroyed when its expiry is queued: does not call")
{
    first.start(delay, [this] { second.reset(); });
    second->start(2 * delay, [this] { calls += "2"; });
    run_late();
    CHECK(calls.empty());
}

TEST_CASE_FIXTURE(timer_fixture, "one_shot_timer: cancelled: releases what its function holds")
{
    const auto held = std::make_shared<int>(0);
    first.start(std::chrono::hours{1}, [held] {});
    first.cancel();
    context.run();
    CHECK(held.use_count() == 1);
}

} // namespace wisterialane::proxy
