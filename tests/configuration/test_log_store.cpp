#include "libraries/configuration/configuration_events.h"
#include "libraries/configuration/log_store.h"
#include "tests/configuration/sample_objects.h"
#include "tests/stand_ins/platform/memory_platform.h"

#include <doctest/doctest.h>

namespace wisterialane::configuration {
namespace {

class log_store_fixture {
protected:
    record first_ = next_record(configuration_set{}, sample_changes(), "first");
    stand_ins::memory_platform platform_;
    log_store store_{platform_, platform_};
};

TEST_CASE_FIXTURE(log_store_fixture, "log_store: version taken: reports the race and keeps the first record")
{
    CHECK(store_.append(first_) == append_outcome::appended);
    const auto other = next_record(configuration_set{}, {put_limit("other")}, "other");
    CHECK(store_.append(other) == append_outcome::raced);
    CHECK((*store_.read(kernel::version_number{1}))->hash == first_.hash);
    CHECK_FALSE(store_.read(kernel::version_number{2})->has_value());
}

// Guards against publishing twice, or reporting a failure, when only the answer was lost.
TEST_CASE_FIXTURE(log_store_fixture, "log_store: answer lost: is resolved by reading back without another write")
{
    platform_.lose_next_write_answer();
    CHECK(store_.append(first_) == append_outcome::appended);
    CHECK(platform_.counts().writes == 1);
}

// Guards against calling a write failed that may still take effect.
TEST_CASE_FIXTURE(log_store_fixture, "log_store: write lost: outcome is unknown and it is not sent again")
{
    platform_.lose_next_write_answer(stand_ins::lost_write::held_back);
    CHECK(store_.append(first_).error().is(configuration_event::publish_outcome_unknown));
    CHECK(platform_.counts().writes == 1);
    platform_.apply_held_writes();
    CHECK((*store_.read(kernel::version_number{1}))->hash == first_.hash);
}

// Guards against a slow writer that moves the pointer back to an older snapshot.
TEST_CASE_FIXTURE(log_store_fixture, "log_store: older snapshot stored last: the newest one is kept")
{
    CHECK_FALSE(store_.read_newest_snapshot()->has_value());
    const auto older = sample_set();
    auto newer = older;
    REQUIRE(newer.apply(next_record(newer, {put_limit("large")})));
    REQUIRE(store_.store_snapshot(newer));
    REQUIRE(store_.store_snapshot(older));
    REQUIRE(store_.store_snapshot(newer));
    const auto found = store_.read_newest_snapshot();
    REQUIRE(found);
    CHECK((*found)->encode_snapshot() == newer.encode_snapshot());
}

TEST_CASE_FIXTURE(log_store_fixture, "log_store: records after a version: come in order and end at the snapshot row")
{
    auto set = configuration_set{};
    for (const std::string name : {"a", "b", "c"}) {
        const auto item = next_record(set, {put_limit(name)}, name);
        REQUIRE(store_.append(item) == append_outcome::appended);
        REQUIRE(set.apply(item));
    }
    REQUIRE(store_.store_snapshot(set));
    const auto records = store_.read_after(kernel::version_number{1}, 100);
    REQUIRE(records);
    REQUIRE(records->size() == 2);
    CHECK(records->back().proposal.value() == "c");
}

} // namespace
} // namespace wisterialane::configuration
