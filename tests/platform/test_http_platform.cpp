#include "libraries/http/client_connection.h"
#include "libraries/http/http_events.h"
#include "libraries/platform/http_platform.h"
#include "libraries/platform/platform_events.h"
#include "tests/stand_ins/platform/platform_server.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include <doctest/doctest.h>

namespace wisterialane::platform {
namespace {

/// One server for all tests, because CivetWeb takes two seconds to stop.
stand_ins::platform_server& shared_server()
{
    static const auto server =
        stand_ins::platform_server::create(kernel::socket_address{"127.0.0.1:0"}, kernel::boot_clock::now);
    REQUIRE(server);
    return **server;
}

class http_platform_fixture {
protected:
    http_platform_fixture()
    {
        server_.set_settings({});
        server_.with_state([](stand_ins::platform_state& state, kernel::time_point) { state = {}; });
        auto created = http_platform::create({server_.address(), std::chrono::milliseconds{300}});
        REQUIRE(created);
        platform_ = std::move(*created);
    }

    kernel::result<http::buffered_response> control(const std::string& method, const std::string& target,
                                                    const std::string& body)
    {
        return http::fetch(server_.address(), {method, "/control/" + target, {}}, body, std::chrono::seconds{5});
    }

    table& rows() { return platform_->tables(); }

    stand_ins::platform_server& server_ = shared_server();
    std::unique_ptr<http_platform> platform_;
};

listed_host entry_host(const std::string& instance)
{
    listed_host host;
    host.name = kernel::host_name{"host-" + instance};
    host.data_centre = kernel::data_centre_name{"dakar-1"};
    host.instance = kernel::instance_id{instance};
    host.caller_address = kernel::socket_address{"127.0.0.1:1"};
    host.operator_address = kernel::socket_address{"127.0.0.1:2"};
    host.peer_address = kernel::socket_address{"127.0.0.1:3"};
    return host;
}

// Guards against two publishers that both take the same version.
TEST_CASE_FIXTURE(http_platform_fixture, "http_table: conditional writes: exactly one of two conflicting ones succeeds")
{
    const auto first = rows().insert("log", "1", "a");
    REQUIRE(first);
    CHECK(rows().insert("log", "1", "b").error().is(platform_event::conflict));
    const auto second = rows().update("log", "1", "c", *first);
    REQUIRE(second);
    CHECK(rows().update("log", "1", "d", *first).error().is(platform_event::conflict));
    CHECK(rows().remove("log", "1", *first).error().is(platform_event::conflict));
    CHECK((*rows().read("log", "1"))->value == "c");
    CHECK(rows().remove("log", "1", *second));
    CHECK(*rows().read("log", "1") == std::nullopt);
    CHECK(rows().remove("log", "1", *second).error().is(platform_event::conflict));
}

// Guards against a version that matches a row deleted and inserted again in between.
TEST_CASE_FIXTURE(http_platform_fixture, "http_table: row inserted again: has a new version")
{
    const auto first = rows().insert("log", "1", "a");
    REQUIRE(first);
    REQUIRE(rows().remove("log", "1", *first));
    REQUIRE(rows().insert("log", "1", "a"));
    CHECK(rows().update("log", "1", "b", *first).error().is(platform_event::conflict));
}

// Guards against keys that change on their way, so that two keys meet in one row.
TEST_CASE_FIXTURE(http_platform_fixture, "http_table: unusual keys: arrive unchanged")
{
    for (const std::string key : {"a/b", "..", ".", "a b%2F", "?x=1&y", "#", "\xc3\xa9", "a+b"}) {
        CAPTURE(key);
        REQUIRE(rows().insert("t/1", key, "v" + key));
        const auto row = rows().read("t/1", key);
        REQUIRE(row);
        REQUIRE(*row);
        CHECK((*row)->value == "v" + key);
        const auto scanned = rows().scan("t/1", key, "", 10);
        REQUIRE(scanned);
        REQUIRE_FALSE(scanned->empty());
        CHECK(scanned->front().key == key);
        CHECK(scanned->front().version == (*row)->version);
    }
}

// Guards against scans that miss or repeat rows at a page boundary.
TEST_CASE_FIXTURE(http_platform_fixture, "http_table: scan by pages: returns each matching row once, in order")
{
    for (const std::string key : {"a/1", "b/1", "b/2", "b/3", "c/1"}) {
        REQUIRE(rows().insert("t", key, key));
    }
    std::string seen, after;
    while (true) {
        const auto page = rows().scan("t", "b/", after, 2);
        REQUIRE(page);
        if (page->empty()) {
            break;
        }
        for (const auto& row : *page) {
            seen += row.key + " ";
        }
        after = page->back().key;
    }
    CHECK(seen == "b/1 b/2 b/3 ");
}

// Guards against reporting a write that took effect as one that did not.
TEST_CASE_FIXTURE(http_platform_fixture,
                  "http_platform: answer lost: the write is outcome_unknown and has taken effect")
{
    server_.set_settings({.lose_write_answers = 1});
    CHECK(rows().insert("log", "1", "a").error().is(platform_event::outcome_unknown));
    CHECK((*rows().read("log", "1"))->value == "a");
    server_.set_settings({.lose_write_answers = 1});
    CHECK(platform_->objects().put("snapshots/1", "bytes").error().is(platform_event::outcome_unknown));
    CHECK(*platform_->objects().get("snapshots/1") == "bytes");
}

// Guards against a late answer that is reported as a failure without effect.
TEST_CASE_FIXTURE(http_platform_fixture,
                  "http_platform: slow beyond the timeout: a write is outcome_unknown and a read is timeout")
{
    server_.set_settings({.delay = std::chrono::milliseconds{50}});
    CHECK(rows().insert("log", "1", "a"));
    CHECK(rows().read("log", "1"));
    server_.set_settings({.delay = std::chrono::milliseconds{1'000}});
    // A table of its own, because the write takes effect after this test.
    CHECK(rows().insert("late", "1", "a").error().is(platform_event::outcome_unknown));
    CHECK(rows().read("late", "1").error().is(platform_event::timeout));
}

// Guards against an outage that hides behind an empty answer: absence is an observation that others rely on.
TEST_CASE_FIXTURE(http_platform_fixture, "http_platform: away: reads are unreachable and never absent")
{
    server_.set_settings({.presence = stand_ins::availability::away});
    CHECK(rows().read("log", "1").error().is(platform_event::unreachable));
    CHECK(rows().scan("log", "", "", 1).error().is(platform_event::unreachable));
    CHECK(platform_->hosts().read().error().is(platform_event::unreachable));
    CHECK(rows().insert("log", "1", "a").error().is(platform_event::outcome_unknown));
    server_.set_settings({});
    CHECK(*rows().read("log", "1") == std::nullopt);
}

// Guards against reporting `outcome_unknown`, and reading back, where nothing was sent.
TEST_CASE("http_platform: nobody listens: writes and reads are unreachable, and a malformed address is refused")
{
    CHECK(http_platform::create({kernel::socket_address{"nowhere"}}).error().is(http::http_event::invalid_address));
    const auto created = http_platform::create({kernel::socket_address{"127.0.0.1:1"}});
    REQUIRE(created);
    CHECK((*created)->tables().insert("log", "1", "a").error().is(platform_event::unreachable));
    CHECK((*created)->tables().read("log", "1").error().is(platform_event::unreachable));
}

// Guards against a wrong address or a server in between whose 404 would read as "this version is current", and against
// a server error that is taken for "had no effect".
TEST_CASE("http_platform: another server's 404 and 503: are neither absence nor a write without effect")
{
    std::atomic<int> status{404};
    const auto other = http::server::create({kernel::socket_address{"127.0.0.1:0"}, 4},
                                            [&](auto& exchange) { (void)exchange.respond(status, {}, "not found"); });
    REQUIRE(other);
    const auto created = http_platform::create({(*other)->address()});
    REQUIRE(created);
    CHECK((*created)->tables().read("log", "1").error().is(platform_event::unexpected_answer));
    CHECK((*created)->objects().get("a").error().is(platform_event::unexpected_answer));
    CHECK((*created)->tables().insert("log", "1", "a").error().is(platform_event::unexpected_answer));
    status = 503;
    CHECK((*created)->tables().insert("log", "1", "a").error().is(platform_event::outcome_unknown));
    CHECK((*created)->tables().read("log", "1").error().is(platform_event::unexpected_answer));
}

// Guards against reads that fail for as long as a silent connection stays in the pool.
TEST_CASE("http_platform: open connection goes silent: the read succeeds on a new one")
{
    std::atomic<int> requests{0};
    const auto silent_on_second =
        http::server::create({kernel::socket_address{"127.0.0.1:0"}, 4}, [&requests](http::server_exchange& exchange) {
            if (++requests == 2) {
                std::this_thread::sleep_for(std::chrono::milliseconds{600});
                return;
            }
            http::header_list headers;
            headers.add("ETag", "\"1\"");
            (void)exchange.respond(200, std::move(headers), "v");
        });
    REQUIRE(silent_on_second);
    const auto created = http_platform::create({(*silent_on_second)->address(), std::chrono::milliseconds{200}});
    REQUIRE(created);
    REQUIRE((*created)->tables().read("log", "1"));
    const auto row = (*created)->tables().read("log", "1");
    REQUIRE(row);
    CHECK((*row)->value == "v");
    CHECK(requests == 3);
}

TEST_CASE_FIXTURE(http_platform_fixture, "http_object_store: object exists: a second put is a conflict")
{
    auto& objects = platform_->objects();
    const std::string bytes("\0\xff\r\n", 4);
    REQUIRE(objects.put("snapshots/100", bytes));
    CHECK(objects.put("snapshots/100", "other").error().is(platform_event::conflict));
    CHECK(*objects.get("snapshots/100") == bytes);
    CHECK(*objects.get("snapshots/200") == std::nullopt);
}

TEST_CASE_FIXTURE(http_platform_fixture, "http_host_list: announced hosts and upstreams: are listed with all fields")
{
    auto host = entry_host("0123456789abcdef");
    host.state = listed_state::leaving;
    REQUIRE(platform_->hosts().announce(host));
    REQUIRE(control(
        "PUT", "upstreams/u1",
        R"({"role":"upstream","state":"leaving","name":"u1","data_centre":"d","upstream_address":"1.2.3.4:5"})"));
    const auto hosts = platform_->hosts().read();
    REQUIRE(hosts);
    REQUIRE(hosts->size() == 2);
    const auto& listed = hosts->at(0);
    CHECK(listed.role == listed_role::entry_host);
    CHECK(listed.state == listed_state::leaving);
    CHECK(listed.name == host.name);
    CHECK(listed.data_centre == host.data_centre);
    CHECK(listed.instance == host.instance);
    CHECK(listed.caller_address == host.caller_address);
    CHECK(listed.operator_address == host.operator_address);
    CHECK(listed.peer_address == host.peer_address);
    CHECK(hosts->at(1).role == listed_role::upstream);
    CHECK(hosts->at(1).state == listed_state::leaving);
    CHECK(hosts->at(1).upstream_address.value() == "1.2.3.4:5");
    CHECK(control("DELETE", "upstreams/u1", "")->head.status == 204);
    CHECK(platform_->hosts().read()->size() == 1);
}

// Guards against a mistyped fault that silently tests nothing.
TEST_CASE_FIXTURE(http_platform_fixture, "platform_server: control settings: unknown field is refused")
{
    const auto before = server_.counts();
    CHECK(control("PUT", "settings", R"({"awya":true})")->head.status == 400);
    CHECK(control("PUT", "settings", R"({"away":true})")->head.status == 200);
    CHECK(rows().read("log", "1").error().is(platform_event::unreachable));
    CHECK(control("PUT", "settings", R"({"away":false,"lose_write_answers":2})")->head.status == 200);
    CHECK(rows().insert("log", "1", "a").error().is(platform_event::outcome_unknown));
    CHECK(control("GET", "settings", "")->body.find(R"("lose_write_answers":1)") != std::string::npos);
    // The read is repeated once.
    CHECK(control("GET", "counters", "")->body == R"({"reads":)" + std::to_string(before.reads + 2) + R"(,"writes":)" +
                                                      std::to_string(before.writes + 1) + "}");
}

} // namespace
} // namespace wisterialane::platform
