#include "libraries/configuration/configuration_set.h"
#include "libraries/configuration/json_codec.h"
#include "tests/configuration/sample_objects.h"

#include <algorithm>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace wisterialane::configuration {
namespace {

std::vector<configuration_event> reasons(const std::vector<fault>& faults)
{
    std::vector<configuration_event> found;
    std::transform(faults.begin(), faults.end(), std::back_inserter(found),
                   [](const fault& item) { return item.reason; });
    return found;
}

using events = std::vector<configuration_event>;

// Guards against an operator who finds the faults of a change one by one.
TEST_CASE("check: several faults: reports all at once")
{
    const auto set = sample_set();
    const auto faults =
        set.check({put_limit("Bad Name"), put_limit("zero", 0), put_customer("new", "absent"),
                   deletion(object_kind::service, "certificates"), deletion(object_kind::limit, "absent")});
    CHECK(reasons(faults) == events{configuration_event::invalid_name, configuration_event::value_out_of_range,
                                    configuration_event::unknown_reference, configuration_event::object_in_use,
                                    configuration_event::object_missing});
    CHECK(faults[2].object == object_reference{object_kind::customer, "new"});
    CHECK(faults[2].field == "limit");
    CHECK(faults[3].detail == "upstream/c1, route/root");
}

// Guards against refusing a change that removes or redirects the referrers itself.
TEST_CASE("check: referrers deleted or redirected in the same list: accepts")
{
    const auto set = sample_set();
    CHECK(set.check({deletion(object_kind::service, "certificates"), put_service("claims"),
                     put_route("root", "claims", "/"), deletion(object_kind::upstream, "c1")})
              .empty());
}

// Guards against two routes or keys that answer to the same prefix or secret.
TEST_CASE("check: duplicate prefix or digest: refuses, unless the holder gives it up")
{
    const auto set = sample_set();
    CHECK(reasons(set.check({put_route("other", "certificates", "/")})) ==
          events{configuration_event::duplicate_value});
    CHECK(reasons(set.check({put_key("acme-2", "acme", "one")})) == events{configuration_event::duplicate_value});
    const std::vector<change> swap{put_route("root", "certificates", "/a"), put_route("other", "certificates", "/")};
    CHECK(set.check(swap).empty());
    auto swapped = set;
    REQUIRE(swapped.apply(next_record(swapped, swap)));
    CHECK(swapped.match_route("/")->name.value() == "other");
    CHECK(swapped.match_route("/a/b")->name.value() == "root");
    CHECK(swapped.match_route("/ab")->name.value() == "other");
}

// Guards against a leaked secret that works again after its key was withdrawn, under its own or another name.
TEST_CASE("check: withdrawn key made active again: refuses, also after its deletion")
{
    auto set = sample_set();
    REQUIRE(set.apply(next_record(set, {put_key("acme-1", "acme", "one", key_state::withdrawn)})));
    CHECK(reasons(set.check({put_key("acme-1", "acme", "two")})) == events{configuration_event::key_already_withdrawn});
    REQUIRE(set.apply(next_record(set, {deletion(object_kind::key, "acme-1")})));
    const auto restored = configuration_set::decode_snapshot(set.encode_snapshot());
    REQUIRE(restored);
    CHECK(reasons(restored->check({put_key("acme-9", "acme", "one")})) ==
          events{configuration_event::key_already_withdrawn});
}

// Guards against a host that serves its own paths or the paths below them from an upstream.
TEST_CASE("check: reserved or malformed path prefix: refuses")
{
    const auto set = sample_set();
    for (const std::string prefix : {"", "a", "/.wisterialane", "/.wisterialane/x", "/a?b", "/a b"}) {
        CAPTURE(prefix);
        CHECK(reasons(set.check({put_route("r", "certificates", prefix)})) ==
              events{configuration_event::value_out_of_range});
    }
}

// Guards against a version that is skipped, applied twice, or not the successor of the one held.
TEST_CASE("apply: record that does not follow: refuses and changes nothing")
{
    auto set = sample_set();
    const auto before = set.encode_snapshot();
    const auto first = next_record(configuration_set{}, sample_changes());
    CHECK(set.apply(first).error().is(configuration_event::version_gap));
    auto forged = next_record(set, {put_limit("large")});
    forged.changes.emplace_back(put_limit("larger"));
    CHECK(set.apply(forged).error().is(configuration_event::hash_mismatch));
    const auto other_chain = make_record(set.version(), chain_hash{sha256_hex("other")}, {}, {}, {}, std::nullopt);
    CHECK(set.apply(other_chain).error().is(configuration_event::hash_mismatch));
    CHECK(set.encode_snapshot() == before);
}

TEST_CASE("roster: quorum: is the smallest number above 60 percent")
{
    for (const auto& [size, quorum] : {std::pair{0U, 1U}, {1U, 1U}, {3U, 2U}, {5U, 4U}, {40U, 25U}}) {
        roster hosts;
        hosts.entries.resize(size);
        CHECK(hosts.quorum() == quorum);
    }
}

// A list of changes over few names, so that references are hit and missed about equally often.
std::vector<change> random_changes()
{
    const auto name = [] { return std::string(1, *rc::gen::inRange('a', 'd')); };
    std::vector<change> changes;
    const auto count = *rc::gen::inRange(1, 6);
    for (int index = 0; index < count; ++index) {
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            changes.push_back(put_limit(name()));
            break;
        case 1:
            changes.push_back(put_customer(name(), name()));
            break;
        case 2:
            changes.push_back(
                put_key(name(), name(), name(), *rc::gen::element(key_state::active, key_state::withdrawn)));
            break;
        case 3:
            changes.push_back(put_service(name()));
            break;
        case 4:
            changes.push_back(put_upstream(name(), name()));
            break;
        case 5:
            changes.push_back(put_route(name(), name(), "/" + name()));
            break;
        default:
            changes.push_back(deletion(static_cast<object_kind>(*rc::gen::inRange(0, 6)), name()));
        }
    }
    return changes;
}

/// The rules stated over the whole set before and after, independently of how `check` finds them.
bool is_valid_step(const configuration_set& before, const std::vector<change>& changes)
{
    std::map<object_reference, object> after;
    for (const auto& reference : before.list()) {
        after.emplace(reference, *before.find(reference));
    }
    std::set<object_reference> targets;
    for (const auto& item : changes) {
        const auto target = target_of(item);
        const auto* put = std::get_if<put_object>(&item);
        if (!targets.insert(target).second || (put == nullptr && !after.contains(target))) {
            return false;
        }
        after.erase(target);
        if (put != nullptr) {
            after.emplace(target, put->item);
        }
    }
    std::set<std::string> digests;
    std::set<std::string> prefixes;
    for (const auto& [reference, item] : after) {
        const auto target = reference_in(item);
        if (target && !after.contains(*target)) {
            return false;
        }
        if (const auto* typed = std::get_if<route>(&item); typed && !prefixes.insert(typed->path_prefix).second) {
            return false;
        }
        const auto* typed = std::get_if<key>(&item);
        if (typed == nullptr) {
            continue;
        }
        const auto* previous = before.find_key(typed->name);
        const bool withdrawn = (previous != nullptr && previous->state == key_state::withdrawn) ||
                               before.is_withdrawn_digest(typed->digest);
        if (!digests.insert(typed->digest).second || (typed->state == key_state::active && withdrawn)) {
            return false;
        }
    }
    return true;
}

// Guards against a published set with dangling references, and against refusing valid changes.
TEST_CASE("check: random change lists: accepts exactly the valid ones")
{
    CHECK(rc::check([] {
        configuration_set set;
        const auto rounds = *rc::gen::inRange(1, 30);
        for (int round = 0; round < rounds; ++round) {
            const auto changes = random_changes();
            const bool accepted = set.check(changes).empty();
            RC_ASSERT(accepted == is_valid_step(set, changes));
            RC_CLASSIFY(accepted, "accepted");
            if (accepted) {
                RC_ASSERT(set.apply(next_record(set, changes)).has_value());
            }
        }
    }));
}

// Guards against hosts that differ by whether they started from records or from a snapshot.
TEST_CASE("apply: all records of a random history: equals the snapshot, and versions and hashes chain")
{
    CHECK(rc::check([] {
        configuration_set set;
        std::vector<std::string> log;
        const auto rounds = *rc::gen::inRange(1, 30);
        for (int round = 0; round < rounds; ++round) {
            const auto changes = random_changes();
            if (set.check(changes).empty()) {
                const auto item = next_record(set, changes);
                RC_ASSERT(item.version.value() == set.version().value() + 1);
                RC_ASSERT(item.previous_hash == set.hash());
                log.push_back(encode_record(item));
                RC_ASSERT(set.apply(item).has_value());
            }
        }
        configuration_set replayed;
        for (const auto& text : log) {
            const auto item = decode_record(text);
            RC_ASSERT(item.has_value());
            RC_ASSERT(replayed.apply(*item).has_value());
            RC_ASSERT(!replayed.apply(*item).has_value());
        }
        const auto restored = configuration_set::decode_snapshot(set.encode_snapshot());
        RC_ASSERT(restored.has_value());
        RC_ASSERT(replayed.encode_snapshot() == set.encode_snapshot());
        RC_ASSERT(restored->encode_snapshot() == set.encode_snapshot());
        const auto probe = random_changes();
        RC_ASSERT(restored->check(probe) == set.check(probe));
        RC_ASSERT(replayed.check(probe) == set.check(probe));
    }));
}

} // namespace
} // namespace wisterialane::configuration
