#include "libraries/http/client_connection.h"
#include "libraries/http/http_events.h"
#include "tests/stand_ins/upstream/upstream_stand_in.h"

#include <string>
#include <thread>

#include <doctest/doctest.h>

namespace wisterialane::stand_ins {
namespace {

class stand_in_fixture {
protected:
    stand_in_fixture() : stand_in_{{kernel::socket_address{"127.0.0.1:0"}, 2, 8}}
    {
        const auto started = stand_in_.start();
        REQUIRE(started);
        address_ = *started;
    }

    kernel::result<http::buffered_response> send(const std::string& method, const std::string& target,
                                                 const std::string& body = "")
    {
        http::request_head head{method, target, {}};
        head.headers.add("Wisterialane-Exchange", "own");
        return http::fetch(address_, head, body, std::chrono::seconds{5});
    }

    void set_mode(const std::string& json) { REQUIRE(send("POST", "/control/mode", json)->head.status == 200); }

    upstream_stand_in stand_in_;
    kernel::socket_address address_;
};

// Guards against a stand-in whose faults can be seen by probes, or cannot be told apart by callers.
TEST_CASE_FIXTURE(stand_in_fixture, "upstream_stand_in: each fault: shows in answers and not in probes")
{
    const auto good = send("POST", "/a", "body");
    REQUIRE(good);
    CHECK(good->head.headers.find("Wisterialane-Exchange") == "own");
    CHECK(good->head.headers.find("Upstream-Body-Length") == "4");
    set_mode(R"({"mode":"wrong","share":1,"wrong":"nonce"})");
    CHECK(send("GET", "/a")->head.headers.find("Wisterialane-Exchange") != "own");
    set_mode(R"({"mode":"wrong","share":1,"wrong":"status"})");
    CHECK(send("GET", "/a")->head.status == 500);
    set_mode(R"({"mode":"shedding"})");
    CHECK(send("GET", "/a")->head.headers.find("Wisterialane-Shed") == "1");
    set_mode(R"({"mode":"draining"})");
    CHECK(send("GET", "/a")->head.headers.find("Wisterialane-Draining") == "1");
    set_mode(R"({"mode":"cut"})");
    CHECK(send("GET", "/bytes?count=50000").error().is(http::http_event::body_cut));
    CHECK(send("GET", "/health")->head.status == 200);
    CHECK(send("POST", "/control/mode", R"({"mode":"other"})")->head.status == 400);
}

// Guards against tests that count runs wrongly: a request that was shed did not run, and one that crashed did.
TEST_CASE_FIXTURE(stand_in_fixture, "upstream_stand_in: crash: closes without an answer, restarts and keeps the record")
{
    set_mode(R"({"mode":"shedding"})");
    REQUIRE(send("POST", "/shed", "x"));
    set_mode(R"({"mode":"healthy","crash_text":"BOOM","down_ms":20})");
    CHECK_FALSE(send("POST", "/crash", "a BOOM b"));
    auto answer = send("GET", "/health");
    while (!answer) {
        stand_in_.maintain();
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
        answer = send("GET", "/health");
    }
    const auto record = nlohmann::json::parse(send("GET", "/control/requests")->body);
    REQUIRE(record["count"] == 2);
    CHECK(record["requests"][0]["run"] == false);
    CHECK(record["requests"][1]["run"] == true);
    CHECK(record["requests"][1]["body_prefix"] == "a BOOM b");
}

} // namespace
} // namespace wisterialane::stand_ins
