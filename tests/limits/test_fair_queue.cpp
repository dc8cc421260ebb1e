#include "libraries/limits/fair_queue.h"

#include <chrono>
#include <map>
#include <string>

#include <doctest/doctest.h>

namespace wisterialane::limits {
namespace {

using namespace std::chrono_literals;
using kernel::customer_name;

constexpr kernel::time_point start{1000s};

class queue_fixture {
protected:
    push_result push(const std::string& customer, kernel::duration cost = 10ms, kernel::duration patience = 1h)
    {
        return queue_.push({customer_name{customer}, queue_ticket{++ticket_}, cost, start + patience}, start);
    }

    fair_queue queue_{{.maximum_length = 20, .quantum = 10ms, .slots = 1}};
    std::uint64_t ticket_ = 0;
};

// Guards against a customer whose backlog or expensive requests take the service of the others.
TEST_CASE_FIXTURE(queue_fixture,
                  "fair_queue: one customer at five times its rate: others keep their share of slot time")
{
    // Each turn serves 100 ms of slot time for 40 ms wanted by each of two modest customers and 200 ms by a third.
    std::map<std::string, kernel::duration> served;
    std::size_t modest_refused = 0;
    for (auto turn = 0; turn < 500; ++turn) {
        for (auto count = 0; count < 5; ++count) {
            push("greedy", 40ms);
        }
        for (auto count = 0; count < 4; ++count) {
            modest_refused += push("first").outcome == push_outcome::queued ? 0 : 1;
            modest_refused += push("second").outcome == push_outcome::queued ? 0 : 1;
        }
        for (auto budget = kernel::duration{100ms}; budget > 0ms;) {
            const auto popped = queue_.pop(start);
            REQUIRE(popped.next);
            served[popped.next->customer.value()] += popped.next->cost;
            budget -= popped.next->cost;
        }
    }
    CHECK(modest_refused == 0);
    CHECK(served["first"] >= 495 * 40ms);
    CHECK(served["second"] >= 495 * 40ms);
}

// Guards against a request that waits although its caller will be gone before it runs.
TEST_CASE_FIXTURE(queue_fixture, "fair_queue: deadline: refuses early what cannot be complete in time")
{
    for (auto count = 0; count < 10; ++count) {
        CHECK(push("first").outcome == push_outcome::queued);
    }
    CHECK(push("first", 10ms, 105ms).outcome == push_outcome::deadline_unreachable);
    CHECK(push("first", 10ms, 115ms).outcome == push_outcome::queued);
    CHECK(push("second", 10ms, 25ms).outcome == push_outcome::queued);
    CHECK(push("second", 10ms, 15ms).outcome == push_outcome::deadline_unreachable);
}

// Guards against expired requests that run, or that are forgotten without an answer.
TEST_CASE_FIXTURE(queue_fixture, "fair_queue: deadline passes while waiting: reports the request as expired")
{
    push("first", 10ms, 50ms);
    push("first", 10ms);
    const auto popped = queue_.pop(start + 45ms);
    CHECK(popped.expired == std::vector{queue_ticket{1}});
    REQUIRE(popped.next);
    CHECK(popped.next->ticket == queue_ticket{2});
    CHECK(queue_.length() == 0);
    CHECK_FALSE(queue_.pop(start).next);
}

// Guards against unbounded memory, and against a full queue that shuts out customers without a backlog.
TEST_CASE_FIXTURE(queue_fixture, "fair_queue: full: the largest backlog makes room")
{
    for (auto count = 0; count < 20; ++count) {
        CHECK(push("greedy").outcome == push_outcome::queued);
    }
    CHECK(push("greedy").outcome == push_outcome::full);
    CHECK(push("first").displaced == queue_ticket{20});
    CHECK(queue_.length() == 20);
    CHECK(queue_.remove(queue_ticket{1}));
    CHECK_FALSE(queue_.remove(queue_ticket{20}));
    CHECK(queue_.length() == 19);
}

} // namespace
} // namespace wisterialane::limits
