#include "libraries/health/health_events.h"
#include "services/slot_gate.h"

#include <atomic>
#include <chrono>
#include <thread>
#include <utility>

#include <doctest/doctest.h>

namespace wisterialane::services {
namespace {

using namespace std::chrono_literals;

/// A gate before one upstream with one slot, on a clock that the test moves.
class gate_fixture {
protected:
    static slot_request request(const char* customer, kernel::time_point deadline)
    {
        return {kernel::service_name{"readings"},
                kernel::route_name{"lookups"},
                kernel::customer_name{customer},
                {},
                deadline};
    }

    [[nodiscard]] kernel::time_point now() const { return kernel::time_point{} + std::chrono::milliseconds{time_}; }

    void release()
    {
        free_ = true;
        gate_.release(kernel::service_name{"readings"}, 10ms);
    }

    std::atomic<bool> free_{true};
    std::atomic<bool> usable_{true};
    std::atomic<int> time_{0};
    slot_gate gate_{[this](const slot_request&, kernel::time_point) -> kernel::result<health::chosen_upstream> {
                        if (!usable_) {
                            return kernel::fail(health::health_event::no_usable_upstream);
                        }
                        if (!free_.exchange(false)) {
                            return kernel::fail(health::health_event::upstreams_busy);
                        }
                        return health::chosen_upstream{};
                    },
                    [this] { return now(); }};
};

// Guards against a waiting request that nobody wakes.
TEST_CASE_FIXTURE(gate_fixture, "slot_gate: slot released: goes to the request that waits")
{
    REQUIRE(gate_.acquire(request("a", now() + 10s)));
    std::atomic<bool> served{false};
    std::thread waiter{[&] { served = gate_.acquire(request("b", now() + 10s)).has_value(); }};
    while (gate_.waiting() == 0) {
        std::this_thread::yield();
    }
    release();
    waiter.join();
    CHECK(served);
    CHECK(gate_.waiting() == 0);
}

// Guards against a caller that waits beyond its deadline.
TEST_CASE_FIXTURE(gate_fixture, "slot_gate: deadline passes while waiting: refuses with deadline")
{
    REQUIRE(gate_.acquire(request("a", now() + 10s)));
    std::atomic<int> outcome{-1};
    std::thread waiter{[&] {
        const auto chosen = gate_.acquire(request("b", now() + 1s));
        outcome = chosen ? -2 : static_cast<int>(chosen.error());
    }};
    while (gate_.waiting() == 0) {
        std::this_thread::yield();
    }
    time_ = 2000;
    waiter.join();
    CHECK(outcome == static_cast<int>(gate_refusal::deadline));
}

TEST_CASE_FIXTURE(gate_fixture, "slot_gate: no usable upstream: refuses at once")
{
    usable_ = false;
    const auto chosen = gate_.acquire(request("a", now() + 10s));
    REQUIRE_FALSE(chosen);
    CHECK(chosen.error() == gate_refusal::no_upstream);
}

} // namespace
} // namespace wisterialane::services
