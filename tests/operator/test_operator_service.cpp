#include "tests/operator/operator_fixture.h"

#include "services/operator_events.h"

namespace wisterialane::services {
namespace {

// Guards against configuration, metrics or the existence of paths shown to anyone who reaches the address.
TEST_CASE_FIXTURE(operator_fixture, "operator_service: no or wrong token: 401 for every path")
{
    for (const std::string token : {"", "wrong", "token-ad", "token-adaa"}) {
        for (const std::string target : {"/v1/configuration", "/metrics", "/nowhere", "/"}) {
            CAPTURE(token);
            CAPTURE(target);
            CHECK(call("GET", target, token).status == 401);
            CHECK(call("POST", target, token, "{}").status == 401);
        }
    }
    CHECK(call("GET", "/metrics", "token-ada").text == "requests 1\n");
    CHECK(call("GET", "/nowhere", "token-ada").status == 404);
    CHECK(call("DELETE", "/v1/proposals", "token-ada").status == 405);
}

// Guards against a host that starts with an operator list that lets one person act as two.
TEST_CASE("operator_directory: malformed or shared token entry: refuses")
{
    const auto digest = configuration::sha256_hex("token");
    for (const auto& entry :
         std::vector<std::string>{"ada", "ada:", ":" + digest, "Ada:" + digest, "ada:" + digest.substr(1)}) {
        CAPTURE(entry);
        CHECK(operator_directory::create({entry}).error().is(operator_event::invalid_operator_entry));
    }
    CHECK_FALSE(operator_directory::create({"ada:" + digest, "bob:" + digest}));
}

// Guards against a publish by one operator alone, and against a review that is not kept.
TEST_CASE_FIXTURE(operator_fixture, "operator_service: propose, review, publish: is in force on the host")
{
    const auto id = propose(large_limit_);
    const auto path = "/v1/proposals/" + id;
    CHECK(call("POST", path + "/publish", "token-ada").body["error"]["name"] == "review_missing");
    CHECK(call("POST", path + "/review", "token-ada").status == 403);
    CHECK(call("POST", path + "/review", "token-bob").status == 200);
    CHECK(call("GET", path + "/diff", "token-bob").body["differences"][0]["action"] == "create");
    CHECK(call("POST", path + "/publish", "token-ada").body["version"] == 2);
    CHECK(call("POST", path + "/publish", "token-ada").body["error"]["name"] == "proposal_already_published");
    CHECK(call("GET", "/v1/status", "token-ada").body["objects"]["limit"] == 2);
    CHECK(call("GET", "/v1/history", "token-ada").body["records"][0]["proposal_id"] == id);
    CHECK(call("GET", "/v1/history?before=2&limit=1", "token-ada").body["records"][0]["version"] == 1);
    CHECK(call("GET", "/v1/records/2", "token-ada").body["author"] == "ada");
    CHECK(call("GET", "/v1/versions/2", "token-ada").body["lagging"][0] == "h3");
    CHECK(call("GET", "/v1/proposals", "token-ada").body["proposals"][0]["published_version"] == 2);
    CHECK(call("GET", "/v1/configuration", "token-ada").body["version"] == 2);
}

// Guards against an operator who learns of the faults or conflicts of a proposal only as a text.
TEST_CASE_FIXTURE(operator_fixture, "operator_service: faults and conflicts: are named one by one")
{
    const auto faulty = R"({"changes":[{"put":{"kind":"customer","name":"c","limit":"absent"}},
        {"delete":{"kind":"limit","name":"small"}}]})";
    for (const std::string target : {"/v1/check", "/v1/proposals"}) {
        const auto refused = call("POST", target, "token-ada", faulty);
        CHECK(refused.status == 422);
        REQUIRE(refused.body["faults"].size() == 2);
        CHECK(refused.body["faults"][1]["reason"] == "object_in_use");
    }
    CHECK(call("POST", "/v1/check", "token-ada", R"({"changes":[]})").status == 422);
    CHECK(call("POST", "/v1/check", "token-ada", R"({"changes":[],"base":1})").body["faults"].size() == 2);
    CHECK(call("POST", "/v1/check", "token-ada", "{").status == 400);
    CHECK(call("POST", "/v1/check", "token-ada", std::string(4'000'001, ' ')).status == 413);
    const auto from_future =
        call("POST", "/v1/proposals", "token-ada", R"({"base_version":9,"changes":)" + large_limit_ + "}");
    CHECK(from_future.body["faults"][0]["field"] == "base_version");
    const auto first = propose(large_limit_);
    const auto second = propose(large_limit_);
    for (const auto& id : {first, second}) {
        CHECK(call("POST", "/v1/proposals/" + id + "/review", "token-bob").status == 200);
    }
    CHECK(call("POST", "/v1/proposals/" + first + "/publish", "token-bob").status == 200);
    const auto conflict = call("POST", "/v1/proposals/" + second + "/publish", "token-bob");
    CHECK(conflict.status == 409);
    CHECK(conflict.body["conflicts"][0]["name"] == "large");
}

// Guards against a withdrawal that waits for a second operator or fails when it is repeated.
TEST_CASE_FIXTURE(operator_fixture, "operator_service: key withdrawal: is published at once and may be repeated")
{
    CHECK(call("POST", "/v1/keys/acme-1/withdraw", "token-ada").body["version"] == 2);
    CHECK(call("POST", "/v1/keys/acme-1/withdraw", "token-ada").body["version"] == 2);
    CHECK(call("POST", "/v1/keys/absent/withdraw", "token-ada").status == 404);
    view_.read([](const configuration::configuration_set& set) {
        CHECK(set.find_key(kernel::key_name{"acme-1"})->state == configuration::key_state::withdrawn);
    });
}

// Guards against an outage of the platform that looks like a refusal.
TEST_CASE_FIXTURE(operator_fixture, "operator_service: platform away: 503, and what is in memory stays readable")
{
    const auto id = propose(large_limit_);
    platform_.set_availability(stand_ins::availability::away);
    CHECK(call("POST", "/v1/proposals/" + id + "/publish", "token-bob").status == 503);
    CHECK(call("GET", "/v1/configuration", "token-bob").status == 200);
}

} // namespace
} // namespace wisterialane::services
