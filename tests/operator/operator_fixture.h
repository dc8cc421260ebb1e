#pragma once

#include "libraries/configuration/digest.h"
#include "libraries/http/client_connection.h"
#include "services/operator_service.h"
#include "tests/configuration/sample_objects.h"
#include "tests/operator/log_view.h"
#include "tests/stand_ins/platform/memory_platform.h"

#include <memory>
#include <string>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace wisterialane::services {

/// A running operator service with the operators ada and bob, whose tokens are `token-ada` and `token-bob`, and with
/// the sample objects published as version 1.
class operator_fixture {
protected:
    operator_fixture()
    {
        REQUIRE(log_.append(configuration::next_record({}, configuration::sample_changes())));
        view_.poll_now();
        operator_service_settings settings;
        settings.server.address = kernel::socket_address{"127.0.0.1:0"};
        settings.server.threads = 4;
        settings.operators = {"ada:" + configuration::sha256_hex("token-ada"),
                              "bob:" + configuration::sha256_hex("token-bob")};
        settings.pages["/metrics"] = [] { return http::buffered_response{{200, {}}, "requests 1\n"}; };
        auto created = operator_service::create(view_, platform_, platform_, std::move(settings));
        REQUIRE(created);
        service_ = std::move(*created);
        REQUIRE(service_->start());
    }

    ~operator_fixture() { service_->stop(); }

    operator_fixture(const operator_fixture&) = delete;
    operator_fixture& operator=(const operator_fixture&) = delete;

    struct answer {
        int status = 0;
        std::string text;
        nlohmann::json body;
    };

    answer call(const std::string& method, const std::string& target, const std::string& token,
                const std::string& body = "")
    {
        http::request_head head{method, target, {}};
        if (!token.empty()) {
            head.headers.add("Authorization", "Bearer " + token);
        }
        const auto response = http::fetch(service_->address(), head, body, std::chrono::seconds{10});
        REQUIRE(response);
        return {response->head.status, response->body, nlohmann::json::parse(response->body, nullptr, false)};
    }

    /// Proposes as ada and returns the id.
    std::string propose(const std::string& changes)
    {
        const auto created = call("POST", "/v1/proposals", "token-ada", R"({"changes":)" + changes + "}");
        REQUIRE(created.status == 201);
        return created.body["id"];
    }

    const std::string large_limit_ = R"([{"put":{"kind":"limit","name":"large","rate_per_second":100,"burst":9}}])";
    stand_ins::memory_platform platform_;
    configuration::log_store log_{platform_, platform_};
    log_view view_{log_};
    std::unique_ptr<operator_service> service_;
};

} // namespace wisterialane::services
