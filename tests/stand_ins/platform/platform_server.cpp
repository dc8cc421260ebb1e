#include "tests/stand_ins/platform/platform_server.h"

#include "libraries/platform/listed_host_codec.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace wisterialane::stand_ins {
namespace {

using nlohmann::json;

constexpr std::size_t maximum_body_bytes = 64U * 1024U * 1024U;

// Each open connection occupies a thread, and each host of a test fleet keeps some connections open.
constexpr unsigned server_threads = 128;

http::buffered_response json_answer(int status, std::string body)
{
    http::buffered_response response;
    response.head.status = status;
    response.head.headers.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

} // namespace

kernel::result<std::unique_ptr<platform_server>> platform_server::create(const kernel::socket_address& address,
                                                                         kernel::clock_source clock)
{
    auto created = std::unique_ptr<platform_server>{new platform_server{std::move(clock)}};
    http::server_settings settings;
    settings.address = address;
    settings.threads = server_threads;
    auto* self = created.get();
    auto server = http::server::create(settings, [self](http::server_exchange& exchange) { self->handle(exchange); });
    if (!server) {
        return tl::unexpected{server.error()};
    }
    created->server_ = std::move(*server);
    return created;
}

platform_server::~platform_server()
{
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    stopping_changed_.notify_all();
}

platform_settings platform_server::settings() const
{
    const std::lock_guard lock{mutex_};
    return settings_;
}

void platform_server::set_settings(const platform_settings& settings)
{
    const std::lock_guard lock{mutex_};
    settings_ = settings;
    state_.set_host_list_lag(settings.host_list_lag);
    state_.set_host_list_expiry(settings.host_list_expiry);
}

void platform_server::with_state(const std::function<void(platform_state&, kernel::time_point now)>& change)
{
    const std::lock_guard lock{mutex_};
    change(state_, clock_());
}

operation_counts platform_server::counts() const
{
    const std::lock_guard lock{mutex_};
    return counts_;
}

void platform_server::handle(http::server_exchange& exchange)
{
    const auto body = exchange.read_whole_body(maximum_body_bytes);
    if (!body) {
        return;
    }
    const auto& head = exchange.head();
    auto answer = head.target.compare(0, 9, "/control/") == 0 ? std::optional{control(head, *body)} : run(head, *body);
    // Without an answer the HTTP server closes the connection.
    if (answer) {
        (void)exchange.respond(answer->head.status, std::move(answer->head.headers), answer->body);
    }
}

std::optional<http::buffered_response> platform_server::run(const http::request_head& head, const std::string& body)
{
    const auto kind = classify(head);
    std::unique_lock lock{mutex_};
    ++(kind == request_kind::read ? counts_.reads : counts_.writes);
    stopping_changed_.wait_for(lock, settings_.delay, [this] { return stopping_; });
    if (stopping_ || settings_.presence == availability::away) {
        return std::nullopt;
    }
    auto answer = api_.handle(head, body, clock_());
    if (kind == request_kind::write && settings_.lose_write_answers > 0) {
        --settings_.lose_write_answers;
        return std::nullopt;
    }
    return answer;
}

http::buffered_response platform_server::control(const http::request_head& head, const std::string& body)
{
    const auto target = parse_request_target(head.target);
    if (!target) {
        return error_answer(400, "malformed_target");
    }
    const auto& segments = target->segments;
    if (segments.size() == 2 && segments[1] == "settings") {
        return control_settings(head, body);
    }
    if (segments.size() == 2 && segments[1] == "counters" && head.method == "GET") {
        const auto current = counts();
        return json_answer(200, json{{"reads", current.reads}, {"writes", current.writes}}.dump());
    }
    if (segments.size() == 3 && segments[1] == "upstreams") {
        return control_upstream(head, segments[2], body);
    }
    return error_answer(404, "no_such_resource");
}

http::buffered_response platform_server::control_settings(const http::request_head& head, const std::string& body)
{
    if (head.method == "PUT") {
        const auto merged = merge_platform_settings(settings(), body);
        if (!merged) {
            return error_answer(400, merged.error().subject());
        }
        set_settings(*merged);
    }
    else if (head.method != "GET") {
        return error_answer(405, "method_not_allowed");
    }
    return json_answer(200, write_platform_settings(settings()));
}

http::buffered_response platform_server::control_upstream(const http::request_head& head, const std::string& name,
                                                          const std::string& body)
{
    http::buffered_response done;
    done.head.status = 204;
    if (head.method == "DELETE") {
        with_state([&](platform_state& state, kernel::time_point now) {
            state.remove_upstream(kernel::host_name{name}, now);
        });
        return done;
    }
    const auto upstream = platform::read_listed_host(body);
    if (head.method != "PUT" || !upstream || upstream->role != platform::listed_role::upstream ||
        upstream->name.value() != name) {
        return error_answer(400, "malformed_entry");
    }
    with_state([&](platform_state& state, kernel::time_point now) { state.put_upstream(*upstream, now); });
    return done;
}

} // namespace wisterialane::stand_ins
