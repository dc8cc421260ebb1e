#include "libraries/claims/claim_store.h"
#include "libraries/claims/claims_events.h"
#include "libraries/encoding/base64.h"
#include "libraries/platform/http_platform.h"
#include "tests/stand_ins/platform/memory_platform.h"
#include "tests/stand_ins/platform/platform_server.h"

#include <string>
#include <variant>

#include <doctest/doctest.h>

namespace wisterialane::claims {
namespace {

using stand_ins::availability;
using stand_ins::lost_write;
using stand_ins::operation_kind;

const kernel::customer_name customer{"kathkuto"};
const request_digest digest{"d1"};

class claim_store_fixture {
protected:
    static kernel::result<claim_outcome> claim(claim_store& store, const std::string& id = "r1",
                                               const request_digest& asked = digest)
    {
        return store.claim(customer, id, asked, kernel::instance_id{"i1"});
    }

    static claim_handle require_granted(const kernel::result<claim_outcome>& outcome)
    {
        REQUIRE(outcome);
        REQUIRE(std::holds_alternative<claim_granted>(*outcome));
        return std::get<claim_granted>(*outcome).handle;
    }

    template <class Outcome>
    static bool is(const kernel::result<claim_outcome>& outcome)
    {
        return outcome && std::holds_alternative<Outcome>(*outcome);
    }

    static bool is_unavailable(const kernel::result<claim_outcome>& outcome)
    {
        return !outcome && outcome.error().is(claims_event::claims_unavailable);
    }

    void come_back()
    {
        platform_.set_hook({});
        platform_.set_availability(availability::available);
    }

    stand_ins::memory_platform platform_;
    claim_store store_{platform_};
    claim_store other_{platform_};
};

// Guards against running a repeated request a second time (P8).
TEST_CASE_FIXTURE(claim_store_fixture, "claim_store: repeat on another host: is already claimed, then completed")
{
    const auto handle = require_granted(claim(store_));
    const auto repeated = claim(other_);
    REQUIRE(is<already_claimed>(repeated));
    CHECK(std::get<already_claimed>(*repeated).holder.value() == "i1");
    REQUIRE(store_.complete(handle, 201, "text/plain", std::string("a\0\xff", 3)));
    const auto replayed = claim(other_);
    REQUIRE(is<already_completed>(replayed));
    const auto& answer = std::get<already_completed>(*replayed).answer;
    CHECK(answer.status == 201);
    CHECK(answer.content_type == "text/plain");
    CHECK(answer.body == std::string("a\0\xff", 3));
}

TEST_CASE_FIXTURE(claim_store_fixture, "claim_store: same id of another customer: is granted")
{
    require_granted(claim(store_));
    CHECK(is<claim_granted>(store_.claim(kernel::customer_name{"asiis"}, "r1", digest, kernel::instance_id{"i1"})));
    require_granted(claim(store_, "r2"));
}

// Guards against giving a caller the stored answer of another request.
TEST_CASE_FIXTURE(claim_store_fixture,
                  "claim_store: id reused for another request: is reported, before and after completion")
{
    const auto handle = require_granted(claim(store_));
    CHECK(is<request_id_reused>(claim(other_, "r1", request_digest{"d2"})));
    REQUIRE(store_.complete(handle, 200, "text/plain", "a"));
    CHECK(is<request_id_reused>(claim(other_, "r1", request_digest{"d2"})));
}

// Guards against refusing a request whose claim took effect.
TEST_CASE_FIXTURE(claim_store_fixture, "claim_store: claim answer lost after effect: is granted by its token")
{
    platform_.lose_next_write_answer();
    const auto handle = require_granted(claim(store_));
    CHECK(is<already_claimed>(claim(other_)));
    CHECK(store_.complete(handle, 200, "text/plain", "a"));
    CHECK(store_.kept_releases() == 0);
}

// Guards against sending a request whose claim may still be taken by another host.
TEST_CASE_FIXTURE(claim_store_fixture, "claim_store: claim takes effect after the refusal: is released later")
{
    platform_.lose_next_write_answer(lost_write::held_back);
    CHECK(is_unavailable(claim(store_)));
    store_.retry_releases();
    CHECK(store_.kept_releases() == 1);
    platform_.apply_held_writes();
    CHECK(is<already_claimed>(claim(other_)));
    store_.retry_releases();
    CHECK(store_.kept_releases() == 0);
    require_granted(claim(other_));
}

// Guards against a list of releases that never ends.
TEST_CASE_FIXTURE(claim_store_fixture, "claim_store: lost claim never takes effect: its release ends after 10 looks")
{
    platform_.lose_next_write_answer(lost_write::before_effect);
    CHECK(is_unavailable(claim(store_)));
    for (int look = 1; look < 10; ++look) {
        store_.retry_releases();
    }
    CHECK(store_.kept_releases() == 1);
    store_.retry_releases();
    CHECK(store_.kept_releases() == 0);
}

// Guards against releasing a claim that another host holds.
TEST_CASE_FIXTURE(claim_store_fixture, "claim_store: undecided claim meets another holder: the holder keeps it")
{
    platform_.lose_next_write_answer(lost_write::before_effect);
    CHECK(is_unavailable(claim(store_)));
    require_granted(claim(other_));
    store_.retry_releases();
    CHECK(store_.kept_releases() == 0);
    CHECK(is<already_claimed>(claim(store_)));
}

TEST_CASE_FIXTURE(claim_store_fixture, "claim_store: platform away: claims are unavailable and nothing is kept")
{
    platform_.set_availability(availability::away);
    CHECK(is_unavailable(claim(store_)));
    CHECK(store_.kept_releases() == 0);
    come_back();
    require_granted(claim(store_));
}

// Guards against a claim that stays taken after the platform's outage although its request was refused as not run.
TEST_CASE_FIXTURE(claim_store_fixture,
                  "claim_store: answer lost and read-back fails: is unavailable and released later")
{
    platform_.lose_next_write_answer();
    platform_.set_hook([this](const stand_ins::operation& next) {
        if (next.kind == operation_kind::read_row) {
            platform_.set_availability(availability::away);
        }
    });
    CHECK(is_unavailable(claim(store_)));
    store_.retry_releases();
    CHECK(store_.kept_releases() == 1);
    come_back();
    store_.retry_releases();
    CHECK(store_.kept_releases() == 0);
    require_granted(claim(other_));
}

TEST_CASE_FIXTURE(claim_store_fixture, "claim_store: row unreadable: is unavailable")
{
    const auto handle = require_granted(claim(store_));
    REQUIRE(platform_.update("claims", handle.row_key, "{}", handle.version));
    CHECK(is_unavailable(claim(other_)));
}

// Guards against a row that its holder deletes between the refused insert and its read.
TEST_CASE_FIXTURE(claim_store_fixture, "claim_store: holder releases in between: the claim is granted")
{
    const auto handle = require_granted(claim(other_));
    platform_.set_hook([&](const stand_ins::operation& next) {
        if (next.kind == operation_kind::read_row) {
            platform_.set_hook({});
            other_.release(handle);
        }
    });
    require_granted(claim(store_));
}

TEST_CASE_FIXTURE(claim_store_fixture, "claim_store: released: can be claimed again, whatever happens to the answer")
{
    for (const auto kind : {lost_write::after_effect, lost_write::before_effect, lost_write::held_back}) {
        const auto handle = require_granted(claim(store_));
        platform_.lose_next_write_answer(kind);
        store_.release(handle);
        CHECK(store_.kept_releases() == 1);
        store_.retry_releases();
        CHECK(store_.kept_releases() == 0);
        // The delayed delete must not remove the row of the next holder.
        const auto next = require_granted(claim(other_));
        platform_.apply_held_writes();
        CHECK(is<already_claimed>(claim(store_)));
        other_.release(next);
    }
}

// Guards against a release that deletes the answer of a request that ran.
TEST_CASE_FIXTURE(claim_store_fixture, "claim_store: released after completion: stays completed")
{
    const auto handle = require_granted(claim(store_));
    REQUIRE(store_.complete(handle, 200, "text/plain", "a"));
    platform_.lose_next_write_answer(lost_write::before_effect);
    store_.release(handle);
    store_.retry_releases();
    CHECK(store_.kept_releases() == 0);
    CHECK(is<already_completed>(claim(other_)));
}

// Guards against unbounded memory during an outage.
TEST_CASE_FIXTURE(claim_store_fixture, "claim_store: too many failed releases: keeps only the bound")
{
    claim_store bounded{platform_, 2};
    for (const std::string id : {"r1", "r2", "r3"}) {
        const auto handle = require_granted(claim(bounded, id));
        platform_.set_availability(availability::away);
        bounded.release(handle);
        come_back();
    }
    CHECK(bounded.kept_releases() == 2);
    bounded.retry_releases();
    CHECK(bounded.kept_releases() == 0);
    CHECK(is<already_claimed>(claim(other_, "r3")));
}

// Guards against reporting a stored completion as missing, and a missing one as stored.
TEST_CASE_FIXTURE(claim_store_fixture, "claim_store: completion answer lost: is read back and stored")
{
    for (const auto kind : {lost_write::after_effect, lost_write::before_effect, lost_write::held_back}) {
        const auto id = "r" + std::to_string(static_cast<int>(kind));
        const auto handle = require_granted(claim(store_, id));
        platform_.lose_next_write_answer(kind);
        CHECK(store_.complete(handle, 200, "text/plain", "a"));
        platform_.apply_held_writes();
        CHECK(is<already_completed>(claim(other_, id)));
    }
}

// Guards against a failed completion that opens the way for a second run.
TEST_CASE_FIXTURE(claim_store_fixture, "claim_store: completion fails: the claim stays taken")
{
    const auto handle = require_granted(claim(store_));
    platform_.set_availability(availability::away);
    CHECK(store_.complete(handle, 200, "text/plain", "a").error().is(claims_event::completion_not_stored));
    come_back();
    CHECK(is<already_claimed>(claim(other_)));
    REQUIRE(platform_.remove("claims", handle.row_key, handle.version));
    require_granted(claim(other_));
    CHECK(store_.complete(handle, 200, "text/plain", "a").error().is(claims_event::claim_not_held));
    CHECK(is<already_claimed>(claim(other_)));
}

TEST_CASE_FIXTURE(claim_store_fixture, "claim_store: body over 16 KB: is completed without body")
{
    const std::string largest(maximum_stored_body_bytes, 'b');
    REQUIRE(store_.complete(require_granted(claim(store_, "r1")), 200, "t", largest));
    REQUIRE(store_.complete(require_granted(claim(store_, "r2")), 200, "t", largest + "b"));
    CHECK(std::get<already_completed>(*claim(other_, "r1")).answer.body == largest);
    CHECK(std::get<already_completed>(*claim(other_, "r2")).answer.body == std::nullopt);
}

// Guards against a difference between the platform in memory and the one over HTTP.
TEST_CASE("claim_store: platform over HTTP: lost answers are read back")
{
    const auto server =
        stand_ins::platform_server::create(kernel::socket_address{"127.0.0.1:0"}, kernel::boot_clock::now);
    REQUIRE(server);
    const auto platform = platform::http_platform::create({(*server)->address()});
    REQUIRE(platform);
    claim_store store{(*platform)->tables()};
    (*server)->set_settings({.lose_write_answers = 2});
    const auto granted = store.claim(customer, "r1", digest, kernel::instance_id{"i1"});
    REQUIRE(granted);
    REQUIRE(std::holds_alternative<claim_granted>(*granted));
    CHECK(store.complete(std::get<claim_granted>(*granted).handle, 200, "t", "a"));
    const auto repeated = store.claim(customer, "r1", digest, kernel::instance_id{"i2"});
    REQUIRE(repeated);
    CHECK(std::holds_alternative<already_completed>(*repeated));
}

TEST_CASE("base64: any length: decodes to the encoded bytes, and other text is refused")
{
    std::string bytes;
    for (int length = 0; length < 260; ++length) {
        CHECK(encoding::decode_base64(encoding::encode_base64(bytes)) == bytes);
        bytes += static_cast<char>(length);
    }
    for (const std::string text : {"abc", "a===", "====", "!!!!", "ab=c"}) {
        CAPTURE(text);
        CHECK(encoding::decode_base64(text) == std::nullopt);
    }
}

} // namespace
} // namespace wisterialane::claims
