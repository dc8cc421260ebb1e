#include "libraries/limits/capacity_arithmetic.h"
#include "libraries/limits/customer_limiter.h"
#include "libraries/limits/home_selector.h"
#include "libraries/limits/loan_book.h"
#include "libraries/limits/max_min.h"
#include "libraries/limits/settling_delay.h"
#include "libraries/limits/share_history.h"
#include "libraries/limits/share_ledger.h"
#include "libraries/limits/token_bucket.h"

#include <chrono>
#include <numeric>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace wisterialane::limits {
namespace {

using namespace std::chrono_literals;
using kernel::instance_id;
using kernel::version_number;

constexpr kernel::time_point start{1000s};
const instance_id first{"a"};
const instance_id second{"b"};

std::vector<instance_id> instances(std::size_t count)
{
    std::vector<instance_id> made;
    for (std::size_t index = 0; index < count; ++index) {
        made.emplace_back("instance-" + std::to_string(index));
    }
    return made;
}

// Guards against a roster change that moves shares between instances that it does not concern.
TEST_CASE("home_selector: an instance leaves: the other homes stay in order")
{
    const auto all = instances(40);
    const auto before = home_selector{all}.homes(kernel::customer_name{"asiis"}, 100);
    REQUIRE(before.size() == maximum_homes);
    auto rest = all;
    std::erase(rest, before[2]);
    const auto after = home_selector{rest}.homes(kernel::customer_name{"asiis"}, 100);
    auto expected = before;
    expected.erase(expected.begin() + 2);
    CHECK(std::equal(expected.begin(), expected.end(), after.begin()));
}

// Guards against shares below one token, which admit nothing.
TEST_CASE("home_selector: small burst or small fleet: chooses fewer homes")
{
    CHECK(home_selector{instances(40)}.home_count(1) == 1);
    CHECK(home_selector{instances(40)}.home_count(7) == 3);
    CHECK(home_selector{instances(3)}.home_count(100) == 3);
    CHECK(home_selector{{}}.homes(kernel::customer_name{"asiis"}, 100).empty());
}

// Guards against tokens that a new instance or a larger burst would create from nothing.
TEST_CASE("token_bucket: new or enlarged: holds only tokens refilled since")
{
    token_bucket bucket{start};
    bucket.set_capacity({10.1, 5}, start);
    CHECK_FALSE(bucket.try_take(start));
    CHECK(bucket.tokens(start + 100ms) == doctest::Approx(1));
    CHECK(bucket.tokens(start + 60s) == 5);
    bucket.set_capacity({10.1, 50}, start + 60s);
    CHECK(bucket.tokens(start + 60s) == 5);
    bucket.set_capacity({10.1, 2}, start + 60s);
    bucket.set_capacity({10.1, 50}, start + 60s);
    CHECK(bucket.tokens(start + 60s) == 2);
    bucket.restart({10.1, 50}, start + 90s);
    CHECK(bucket.tokens(start + 90s) == 2);
}

// Guards against a second refill for the same time when calls come out of order.
TEST_CASE("token_bucket: earlier time: refills nothing")
{
    token_bucket bucket{start};
    bucket.set_capacity({10.1, 5}, start);
    CHECK(bucket.try_take(start + 100ms));
    CHECK_FALSE(bucket.try_take(start + 50ms));
    CHECK_FALSE(bucket.try_take(start + 100ms));
    CHECK(bucket.time_to_token(start + 100ms) <= 101ms);
    bucket.set_capacity({10.1, 0.5}, start + 100ms);
    CHECK(bucket.time_to_token(start + 100ms) == kernel::duration::max());
}

// Guards against tokens created or lost while the capacity changes.
TEST_CASE("token_bucket: random capacities: tokens are at most what was refilled and at most the burst")
{
    CHECK(rc::check([](const std::vector<std::uint8_t>& steps) {
        token_bucket bucket{start};
        auto now = start;
        double refilled = 0;
        double taken = 0;
        for (const auto step : steps) {
            now += std::chrono::milliseconds{step};
            refilled += bucket.current_capacity().rate_per_second * step / 1000;
            taken += bucket.try_take(now) ? 1 : 0;
            bucket.set_capacity({static_cast<double>(step % 16), static_cast<double>(step >> 4U)}, now);
            RC_ASSERT(bucket.tokens(now) <= bucket.current_capacity().burst);
            RC_ASSERT(bucket.tokens(now) + taken <= refilled + 1e-9);
        }
    }));
}

// Guards against a division that exceeds the share or leaves a small demand short for a large one.
TEST_CASE("divide_max_min: random demands: conserves the total, and only the largest parts are short")
{
    CHECK(divide_max_min(12, {2, 10, 6}) == std::vector<double>{2, 5, 5});
    CHECK(divide_max_min(12, {2, 3}) == std::vector<double>{2, 3});
    CHECK(rc::check([](const std::vector<std::uint16_t>& numbers, std::uint16_t total) {
        const std::vector<double> demands(numbers.begin(), numbers.end());
        const auto parts = divide_max_min(total, demands);
        const auto largest = parts.empty() ? 0 : *std::max_element(parts.begin(), parts.end());
        const auto wanted = std::accumulate(demands.begin(), demands.end(), 0.0);
        const auto divided = std::accumulate(parts.begin(), parts.end(), 0.0);
        RC_ASSERT(std::abs(divided - std::min<double>(total, wanted)) < 1e-6);
        for (std::size_t index = 0; index < parts.size(); ++index) {
            RC_ASSERT(parts[index] <= demands[index]);
            RC_ASSERT(parts[index] == demands[index] || parts[index] > largest - 1e-6);
        }
    }));
}

class ledger_fixture {
protected:
    ledger_fixture() { ledger_.set_share({100, 50}); }

    share_ledger ledger_;
};

// Guards against lent capacity that the home uses too, also at the end of the loan on a slow clock.
TEST_CASE_FIXTURE(ledger_fixture, "share_ledger: loan: is given up for the loan duration and the clock margin")
{
    CHECK(ledger_.lend(first, 1, {40, 20}, start) == capacity{40, 20});
    CHECK(ledger_.own_capacity(start) == capacity{60, 30});
    CHECK(ledger_.own_capacity(start + 4039ms) == capacity{60, 30});
    CHECK(ledger_.own_capacity(start + 4040ms) == capacity{100, 50});
    CHECK_FALSE(ledger_.has_running_loans(start + 4040ms));
}

// Guards against a repeated or late request that changes what a newer one was granted.
TEST_CASE_FIXTURE(ledger_fixture, "share_ledger: sequence number not newer: ignores the request")
{
    CHECK(ledger_.lend(first, 5, {40, 20}, start));
    CHECK_FALSE(ledger_.lend(first, 5, {40, 20}, start + 1s));
    CHECK(ledger_.lent(start + 1s) == capacity{40, 20});
    CHECK(ledger_.lent(start + 4040ms) == capacity{});
    CHECK_FALSE(ledger_.lend(first, 4, {90, 20}, start + 10s));
    CHECK_FALSE(ledger_.lend(second, 1, {std::nan(""), 1}, start));
}

// Guards against capacity that returns while the borrower may still use the earlier, larger loan: the answer to the
// later request can be lost.
TEST_CASE_FIXTURE(ledger_fixture, "share_ledger: loan reduced: returns capacity when the earlier grant has ended")
{
    CHECK(ledger_.lend(first, 1, {40, 20}, start));
    CHECK(ledger_.lend(first, 2, {10, 5}, start + 1s) == capacity{10, 5});
    CHECK(ledger_.lent(start + 4s) == capacity{40, 20});
    CHECK(ledger_.lent(start + 4040ms) == capacity{10, 5});
    CHECK(ledger_.lent(start + 5040ms) == capacity{});
}

// Guards against a first borrower that keeps what a later one needs, and against grants above the share.
TEST_CASE_FIXTURE(ledger_fixture, "share_ledger: contention: divides by demand as earlier loans end")
{
    ledger_.set_own_demand({20, 10});
    CHECK(ledger_.lend(first, 1, {100, 50}, start) == capacity{80, 40});
    CHECK(ledger_.lend(second, 2, {100, 50}, start) == capacity{20, 10});
    CHECK(ledger_.own_capacity(start) == capacity{});
    CHECK(ledger_.lend(first, 3, {100, 50}, start + 2s) == capacity{40, 20});
    CHECK(ledger_.lend(second, 4, {100, 50}, start + 4040ms) == capacity{40, 20});
    CHECK(ledger_.own_capacity(start + 4040ms) == capacity{20, 10});
    ledger_.set_share({30, 10});
    CHECK(ledger_.own_capacity(start + 4040ms) == capacity{});
    CHECK(ledger_.lend(second, 5, {100, 50}, start + 4050ms) == capacity{0, 0});
}

// Guards against a loan that outlives the lender's count: it runs from the sending, not from the answer.
TEST_CASE("loan_book: answer: loan ends a loan duration after the request was sent")
{
    loan_book book;
    book.record_request(first, 7, {10, 5}, start);
    CHECK_FALSE(book.accept(first, {{}, 6, {10, 5}}, start + 1s));
    CHECK_FALSE(book.accept(second, {{}, 7, {10, 5}}, start + 1s));
    CHECK(book.accept(first, {{}, 7, {10, 5}}, start + 1s));
    CHECK_FALSE(book.accept(first, {{}, 7, {90, 5}}, start + 2s));
    CHECK(book.borrowed(start + 3999ms) == capacity{10, 5});
    CHECK(book.borrowed(start + 4s) == capacity{});
    book.record_request(first, 8, {10, 5}, start + 4s);
    CHECK_FALSE(book.accept(first, {{}, 8, {10, 5}}, start + 8s));
}

// Guards against two hosts that use one share: it was moved away and back between the settled and the newest version.
TEST_CASE("share_history: share moved away and back: smallest share counts until the version settles")
{
    share_history history;
    history.record(version_number{3}, {10, 5});
    CHECK(history.usable(version_number{2}) == capacity{});
    CHECK(history.usable(version_number{3}) == capacity{10, 5});
    history.record(version_number{4}, {});
    history.record(version_number{6}, {10, 5});
    CHECK(history.usable(version_number{3}) == capacity{});
    CHECK(history.usable(version_number{5}) == capacity{});
    CHECK(history.usable(version_number{6}) == capacity{10, 5});
}

// Guards against a raised share that is used while loans from the share of the version before still run.
TEST_CASE("settling_delay: version settles: counts after the lender duration")
{
    settling_delay delay;
    CHECK(delay.update(version_number{3}, start) == version_number{0});
    CHECK(delay.update(version_number{4}, start + 2s) == version_number{0});
    CHECK(delay.update(version_number{4}, start + lender_duration) == version_number{3});
    CHECK(delay.update(version_number{4}, start + lender_duration + 2s) == version_number{4});
}

class limiter_fixture {
protected:
    limiter_fixture()
    {
        limiter_.apply_version(version_number{1}, {100, 50}, {first, second}, start);
        limiter_.settle(version_number{1}, start);
    }

    customer_limiter limiter_{first, start};
};

// Guards against capacity that is used before it is in force everywhere, and against a lowered limit that waits.
TEST_CASE_FIXTURE(limiter_fixture, "customer_limiter: limit changes: lowered at once, raised when settled")
{
    CHECK(limiter_.state_at(start).usable == capacity{50, 25});
    limiter_.apply_version(version_number{2}, {20, 10}, {first, second}, start);
    CHECK(limiter_.state_at(start).usable == capacity{10, 5});
    limiter_.apply_version(version_number{3}, {40, 20}, {first, second}, start);
    CHECK(limiter_.state_at(start).usable == capacity{10, 5});
    limiter_.settle(version_number{3}, start);
    CHECK(limiter_.state_at(start).usable == capacity{20, 10});
}

// Guards against a frozen host that refills from a share which others have used in the meantime.
TEST_CASE_FIXTURE(limiter_fixture,
                  "customer_limiter: lowered share learned late: time since the last call refills nothing")
{
    limiter_.apply_version(version_number{2}, {20, 10}, {first, second}, start + 10s);
    CHECK(limiter_.state_at(start + 10s).tokens == 0);
}

// Guards against tokens of an ended loan, kept or refilled after its end by a host that was frozen.
TEST_CASE_FIXTURE(limiter_fixture, "customer_limiter: loan ends while frozen: tokens are cut and refilled at its end")
{
    limiter_.apply_version(version_number{2}, {0, 50}, {first, second}, start);
    limiter_.start_request(second, 1, start);
    CHECK(limiter_.accept(second, {{}, 1, {2.02, 20}}, start));
    CHECK(limiter_.state_at(start + 60s).tokens == doctest::Approx(8));

    customer_limiter borrower{instance_id{"c"}, start};
    borrower.apply_version(version_number{1}, {100, 50}, {first, second}, start);
    borrower.settle(version_number{1}, start);
    borrower.start_request(second, 1, start);
    CHECK(borrower.accept(second, {{}, 1, {100, 20}}, start));
    CHECK(borrower.state_at(start + 3s).tokens == 20);
    CHECK(borrower.admit(start + 4s) == admission_outcome::refused);
}

// Guards against loans that end before they are renewed, and against requests at each call.
TEST_CASE("customer_limiter: demand without a share: asks all homes and renews at half of the duration")
{
    customer_limiter limiter{instance_id{"c"}, start};
    limiter.apply_version(version_number{1}, {100, 50}, {first, second}, start);
    CHECK(limiter.due_lenders(start).empty());
    CHECK(limiter.admit(start) == admission_outcome::refused);
    CHECK(limiter.due_lenders(start) == std::vector<instance_id>{first, second});
    std::uint64_t sequence = 0;
    for (const auto& lender : {first, second}) {
        const auto wanted = limiter.start_request(lender, ++sequence, start);
        CHECK(wanted.rate_per_second >= 20);
        CHECK(limiter.accept(lender, {{}, sequence, wanted}, start));
    }
    CHECK(limiter.admit(start + 50ms) == admission_outcome::admitted);
    CHECK(limiter.due_lenders(start + 1s).empty());
    CHECK(limiter.due_lenders(start + 2s).size() == 2);
    CHECK_FALSE(limiter.is_idle(1s, start + 3s));
    CHECK(limiter.is_idle(60s, start + 61s));
}

// Guards against a silent home that costs the borrower its part of the capacity.
TEST_CASE("customer_limiter: a home fails: asks the other for the whole shortfall")
{
    customer_limiter limiter{instance_id{"c"}, start};
    limiter.apply_version(version_number{1}, {100, 50}, {first, second}, start);
    CHECK(limiter.admit(start) == admission_outcome::refused);
    const auto even = limiter.start_request(first, 1, start);
    limiter.record_failure(first, 1);
    CHECK(limiter.start_request(second, 2, start).rate_per_second == doctest::Approx(2 * even.rate_per_second));
}

} // namespace
} // namespace wisterialane::limits
