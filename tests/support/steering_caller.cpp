#include "tests/support/steering_caller.h"

#include "libraries/http/http_events.h"

#include <chrono>

#include <nlohmann/json.hpp>

namespace wisterialane::test_support {
namespace {

constexpr std::chrono::seconds call_timeout{10};

} // namespace

bool steering_caller::ask(const kernel::socket_address& host)
{
    http::request_head head{"GET", "/.wisterialane/addresses?service=readings", {}};
    head.headers.add("Authorization", "Bearer " + key_);
    const auto answer = http::fetch(host, head, "", call_timeout);
    if (!answer || answer->head.status != 200) {
        return false;
    }
    const auto body = nlohmann::json::parse(answer->body);
    if (body.at("addresses").empty()) {
        return false;
    }
    const kernel::socket_address first{body.at("addresses").at(0).get<std::string>()};
    if (first != address_) {
        connection_.reset();
    }
    address_ = first;
    const std::chrono::duration<double> keep{body.at("keep_seconds").get<double>()};
    valid_until_ = kernel::boot_clock::now() + std::chrono::duration_cast<kernel::duration>(keep);
    return true;
}

bool steering_caller::choose_address()
{
    if (!address_.value().empty() && kernel::boot_clock::now() < valid_until_) {
        return true;
    }
    for (const auto& host : known_hosts_) {
        if (ask(host)) {
            return true;
        }
    }
    return false;
}

bool steering_caller::ensure_connection()
{
    if (connection_ && connection_->reusable()) {
        return true;
    }
    auto connected = http::client_connection::connect(address_);
    if (!connected) {
        return false;
    }
    connection_ = std::move(*connected);
    return true;
}

kernel::result<http::buffered_response> steering_caller::send(const caller_request& request)
{
    if (!choose_address() || !ensure_connection()) {
        return kernel::fail(http::http_event::connect_failed, address_.value());
    }
    http::request_head head{request.method, request.target, {}};
    head.headers.add("Authorization", "Bearer " + key_);
    if (!request.request_id.empty()) {
        head.headers.add("Idempotency-Key", request.request_id);
    }
    auto answer = http::exchange(*connection_, head, request.body, call_timeout);
    if (!answer) {
        connection_.reset();
    }
    return answer;
}

} // namespace wisterialane::test_support
