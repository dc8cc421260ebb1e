#include "libraries/proxy/memory_budget.h"

#include <vector>

#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

/// Parts: 4500 for large requests, 2500 for large responses, 2000 for small requests, 1000 for small responses.
constexpr std::size_t capacity = 10000;
constexpr std::size_t small_response_capacity = 1000;

struct memory_fixture {
    std::shared_ptr<memory_budget> budget = std::make_shared<memory_budget>(capacity);
    memory_reservation first;
    memory_reservation second;
};

} // namespace

TEST_CASE_FIXTURE(memory_fixture, "memory_budget: reservations: count until they are released or destroyed")
{
    CHECK(first.resize(*budget, 300, memory_use::small_response));
    {
        memory_reservation moved = std::move(first);
        CHECK(budget->used() == 300);
        CHECK(moved.resize(*budget, 100, memory_use::small_response));
        CHECK(budget->used() == 100);
    }
    CHECK(budget->used() == 0);
    CHECK(budget->peak() == 300);
}

TEST_CASE_FIXTURE(memory_fixture, "memory_budget: failed reservation: changes nothing")
{
    REQUIRE(first.resize(*budget, 900, memory_use::small_response));
    CHECK_FALSE(first.resize(*budget, 1001, memory_use::small_response));
    CHECK(first.bytes() == 900);
    CHECK_FALSE(second.resize(*budget, 101, memory_use::small_response));
    CHECK(second.resize(*budget, 100, memory_use::small_response));
    CHECK(budget->used() == small_response_capacity);
}

// Guards against requests that leave no memory for the responses of those in progress, and against large messages that
// keep small ones out.
TEST_CASE_FIXTURE(memory_fixture, "memory_budget: one use has taken its part: the other parts are available")
{
    REQUIRE(first.resize(*budget, 4500, memory_use::large_request));
    CHECK_FALSE(budget->is_available(1, memory_use::large_request));
    CHECK(budget->is_available(2500, memory_use::large_response));
    CHECK(budget->is_available(2000, memory_use::small_request));
    CHECK(budget->is_available(1000, memory_use::small_response));
    CHECK_FALSE(budget->is_available(1001, memory_use::small_response));
}

TEST_CASE_FIXTURE(memory_fixture, "memory_budget: reservation for another use: moves to that part as a whole")
{
    REQUIRE(first.resize(*budget, 1500, memory_use::small_request));
    REQUIRE(second.resize(*budget, 3000, memory_use::large_request));
    CHECK_FALSE(first.resize(*budget, 1600, memory_use::large_request));
    CHECK_FALSE(budget->is_available(501, memory_use::small_request));
    CHECK(first.resize(*budget, 1500, memory_use::large_request));
    CHECK(budget->is_available(2000, memory_use::small_request));
    CHECK(budget->used() == 4500);
}

TEST_CASE_FIXTURE(memory_fixture, "memory_budget: memory returned: those who wait for it are called once, in order")
{
    REQUIRE(first.resize(*budget, 2500, memory_use::large_response));
    std::vector<int> called;
    memory_budget::waiting_position one;
    memory_budget::waiting_position two;
    memory_budget::waiting_position other_use;
    budget->wait(one, 1000, memory_use::large_response, [&] { called.push_back(1); });
    budget->wait(two, 1000, memory_use::large_response, [&] { called.push_back(2); });
    budget->wait(other_use, 2000, memory_use::small_request, [&] { called.push_back(3); });
    CHECK(first.resize(*budget, 2000, memory_use::large_response));
    CHECK(called.empty());
    CHECK(first.resize(*budget, 1000, memory_use::large_response));
    CHECK(called == std::vector{1});
    first.release();
    CHECK(called == std::vector{1, 2});
    CHECK(first.resize(*budget, 10, memory_use::large_response));
    first.release();
    CHECK(called.size() == 2);
}

TEST_CASE_FIXTURE(memory_fixture, "memory_budget: waiting position left or destroyed: is not called")
{
    REQUIRE(first.resize(*budget, small_response_capacity, memory_use::small_response));
    int calls = 0;
    memory_budget::waiting_position left;
    budget->wait(left, 1, memory_use::small_response, [&] { ++calls; });
    {
        memory_budget::waiting_position destroyed;
        budget->wait(destroyed, 1, memory_use::small_response, [&] { ++calls; });
    }
    left.leave();
    first.release();
    CHECK(calls == 0);
}

TEST_CASE_FIXTURE(memory_fixture, "memory_budget: smaller capacity than is in use: nothing more is granted")
{
    REQUIRE(first.resize(*budget, 600, memory_use::small_response));
    budget->set_capacity(capacity / 2);
    CHECK_FALSE(second.resize(*budget, 1, memory_use::small_response));
    CHECK(first.resize(*budget, 400, memory_use::small_response));
    CHECK(second.resize(*budget, 100, memory_use::small_response));
}

} // namespace wisterialane::proxy
