#include "libraries/configuration/configuration_events.h"
#include "libraries/configuration/publisher.h"
#include "libraries/platform/platform_events.h"
#include "tests/configuration/sample_objects.h"
#include "tests/stand_ins/platform/memory_platform.h"

#include <doctest/doctest.h>

namespace wisterialane::configuration {
namespace {

using stand_ins::operation_kind;

class publisher_fixture {
protected:
    publisher_fixture() { append(sample_changes(), "initial"); }

    void append(std::vector<change> changes, const std::string& proposal_name)
    {
        const auto item = next_record(set_, std::move(changes), proposal_name);
        REQUIRE(log_.append(item) == append_outcome::appended);
        REQUIRE(set_.apply(item));
    }

    kernel::proposal_id propose(std::vector<change> changes)
    {
        const auto item = proposals_.create(ada_, set_.version(), std::move(changes));
        REQUIRE(item);
        return item->id;
    }

    kernel::proposal_id propose_reviewed(std::vector<change> changes)
    {
        auto id = propose(std::move(changes));
        REQUIRE(proposals_.add_review(id, bob_));
        return id;
    }

    /// Runs `interfere` once, just before the next insert of a log record.
    void before_next_append(std::function<void()> interfere)
    {
        platform_.set_hook([this, interfere = std::move(interfere)](const stand_ins::operation& run) {
            if (run.kind == operation_kind::insert_row && run.table_name == "configuration_log") {
                auto once = interfere;
                platform_.set_hook({});
                once();
            }
        });
    }

    const kernel::operator_name ada_{"ada"};
    const kernel::operator_name bob_{"bob"};
    stand_ins::memory_platform platform_;
    log_store log_{platform_, platform_};
    proposal_store proposals_{platform_};
    publisher publisher_{log_, proposals_};
    configuration_set set_;
};

// Guards against one operator who changes the fleet alone.
TEST_CASE_FIXTURE(publisher_fixture, "publish: no review by another operator: refuses with review_missing")
{
    const auto id = propose({put_limit("large")});
    CHECK(proposals_.add_review(id, ada_).error().is(configuration_event::reviewer_is_author));
    CHECK(publisher_.publish(id, bob_, set_).error().reason.is(configuration_event::review_missing));
    REQUIRE(proposals_.add_review(id, bob_));
    CHECK(publisher_.publish(id, ada_, set_) == kernel::version_number{2});
}

// Guards against a leaked key that stays valid until a second operator is awake, and against other changes that pass
// without a review as withdrawals.
TEST_CASE_FIXTURE(publisher_fixture, "publish: key withdrawal: needs no review, unless it changes anything else")
{
    const auto withdrawal = put_key("acme-1", "acme", "one", key_state::withdrawn);
    for (const auto& changes : {std::vector<change>{withdrawal, put_limit("large")},
                                {put_key("acme-1", "acme", "two", key_state::withdrawn)},
                                {put_key("new", "acme", "new", key_state::withdrawn)},
                                {}}) {
        const auto refused = publisher_.publish(propose(changes), ada_, set_);
        CHECK(refused.error().reason.is(configuration_event::review_missing));
    }
    CHECK(publisher_.publish(propose({withdrawal}), ada_, set_) == kernel::version_number{2});
}

// Guards against overwriting a change that the author and the reviewer have not seen.
TEST_CASE_FIXTURE(publisher_fixture, "publish: object changed since the base version: conflict names it")
{
    const auto id = propose_reviewed({put_limit("small", 99), put_limit("large")});
    const auto stale = set_;
    append({put_limit("small", 20)}, "other");
    append({put_limit("small", 10)}, "back");
    const auto refused = publisher_.publish(id, bob_, stale);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().reason.is(configuration_event::proposal_conflict));
    CHECK(refused.error().conflicts == std::vector{object_reference{object_kind::limit, "small"}});
}

// Guards against a publish that fails, or writes over another version, because it lost one race.
TEST_CASE_FIXTURE(publisher_fixture, "publish: another version wins the race: takes the next one")
{
    const auto id = propose_reviewed({put_limit("large")});
    const auto seen = set_;
    before_next_append([this] { append({put_limit("other")}, "other"); });
    CHECK(publisher_.publish(id, bob_, seen) == kernel::version_number{3});
    CHECK((*log_.read(kernel::version_number{2}))->proposal.value() == "other");
}

// Guards against a set with dangling references when the winner of the race removed what the loser refers to.
TEST_CASE_FIXTURE(publisher_fixture, "publish: winner of the race makes the proposal invalid: refuses with the faults")
{
    append({put_limit("spare")}, "spare");
    const auto id = propose_reviewed({put_customer("new", "spare")});
    const auto seen = set_;
    before_next_append([this] { append({deletion(object_kind::limit, "spare")}, "other"); });
    const auto refused = publisher_.publish(id, bob_, seen);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().reason.is(configuration_event::check_failed));
    REQUIRE(refused.error().faults.size() == 1);
    CHECK(refused.error().faults[0].reason == configuration_event::unknown_reference);
}

TEST_CASE_FIXTURE(publisher_fixture, "publish: race lost each time: gives up after a bounded number of attempts")
{
    const auto id = propose_reviewed({put_limit("large")});
    const auto seen = set_;
    int races = 0;
    bool interfering = false;
    platform_.set_hook([&](const stand_ins::operation& run) {
        if (run.kind == operation_kind::insert_row && run.table_name == "configuration_log" && !interfering) {
            interfering = true;
            append({put_limit("other")}, "other-" + std::to_string(++races));
            interfering = false;
        }
    });
    CHECK(publisher_.publish(id, bob_, seen).error().reason.is(configuration_event::version_raced));
    CHECK(races == 8);
}

// Guards against publishing one proposal as two versions: after a success, after a success whose note was lost, and
// from two hosts at once.
TEST_CASE_FIXTURE(publisher_fixture, "publish: same proposal again: refuses with the version that it has")
{
    const auto id = propose_reviewed({put_limit("large")});
    const auto seen = set_;
    SUBCASE("after a success")
    {
        REQUIRE(publisher_.publish(id, bob_, seen));
    }
    SUBCASE("note in the proposal lost")
    {
        append({put_limit("large")}, id.value());
        append({put_limit("larger")}, "other");
    }
    SUBCASE("in a race")
    {
        before_next_append([&] { REQUIRE(publisher_.publish(id, ada_, seen)); });
    }
    const auto refused = publisher_.publish(id, bob_, seen);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().reason.is(configuration_event::proposal_already_published));
    CHECK(refused.error().reason.subject() == "2");
    CHECK((*proposals_.read(id)).published_version == kernel::version_number{2});
}

// Guards against a lost answer that becomes a second version or a false failure.
TEST_CASE_FIXTURE(publisher_fixture, "publish: answer lost: is resolved by reading back")
{
    const auto id = propose_reviewed({put_limit("large")});
    SUBCASE("write took effect")
    {
        platform_.lose_next_write_answer();
        CHECK(publisher_.publish(id, bob_, set_) == kernel::version_number{2});
    }
    SUBCASE("write takes effect after the next attempt")
    {
        platform_.lose_next_write_answer(stand_ins::lost_write::held_back);
        const auto unknown = publisher_.publish(id, bob_, set_);
        CHECK(unknown.error().reason.is(configuration_event::publish_outcome_unknown));
        CHECK(publisher_.publish(id, bob_, set_) == kernel::version_number{2});
        platform_.apply_held_writes();
    }
    CHECK((*log_.read(kernel::version_number{2}))->proposal == id);
    CHECK_FALSE(log_.read(kernel::version_number{3})->has_value());
}

// Guards against a lost or doubled approval when answers are lost or reviewers race.
TEST_CASE_FIXTURE(publisher_fixture, "proposal_store: lost answer or racing reviewer: keeps each approval once")
{
    const auto id = propose({put_limit("large")});
    const kernel::operator_name eve{"eve"};
    platform_.lose_next_write_answer();
    REQUIRE(proposals_.add_review(id, bob_));
    bool raced = false;
    platform_.set_hook([&](const stand_ins::operation& run) {
        if (run.kind == operation_kind::update_row && !std::exchange(raced, true)) {
            REQUIRE(proposals_.add_review(id, kernel::operator_name{"kim"}));
        }
    });
    const auto item = proposals_.add_review(id, eve);
    REQUIRE(item);
    CHECK(item->reviewers == std::vector{bob_, kernel::operator_name{"kim"}, eve});
    platform_.lose_next_write_answer();
    const auto created = proposals_.create(ada_, set_.version(), {put_limit("x")});
    REQUIRE(created);
    CHECK(proposals_.read(created->id) == *created);
    CHECK(proposals_.list("", 10)->size() == 2);
    CHECK(proposals_.read(kernel::proposal_id{"absent"}).error().is(configuration_event::proposal_unknown));
}

} // namespace
} // namespace wisterialane::configuration
