#include "tests/proxy/host_fixture.h"

#include <algorithm>

#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

constexpr std::size_t megabyte = 1'000'000;

/// A host with little memory for messages.
struct memory_limit_fixture : host_fixture {
    memory_limit_fixture() { settings.reloadable.memory_limit_bytes = 100 * megabyte; }

    [[nodiscard]] memory_budget& memory() { return *host->environment().memory; }
};

} // namespace

// Guards against a process that exceeds its memory limit, and ends with all requests in progress, because many
// upstreams send bytes without end at once.
TEST_CASE_FIXTURE(memory_limit_fixture,
                  "proxy_host: endless responses to many requests at once: bounded memory, other requests are served")
{
    std::string block(16384, 'x');
    std::string framing;
    SUBCASE("until the connection closes")
    {
        framing = "\r\n";
    }
    SUBCASE("in chunks")
    {
        framing = "Transfer-Encoding: chunked\r\n\r\n";
        block = "4000\r\n" + block + "\r\n";
    }
    SUBCASE("with a length beyond every limit")
    {
        framing = "Content-Length: 9000000000\r\n\r\n";
    }
    SUBCASE("with a length within the limit")
    {
        framing = "Content-Length: 8000000\r\n\r\n";
    }
    CAPTURE(framing);
    add_upstream("u1", [&](const http_request& request) {
        const auto head =
            "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + std::string{request["X-Request"]} + "\r\n";
        return scripted_response{block, false, false, true, head + framing};
    });
    add_upstream("u2", [](const auto& request) { return scripted_response{signed_response(request, "filed")}; });
    store.upstreams[0].slots = 1000;
    store.upstreams[1].service = kernel::service_name{"claims"};
    store.configuration->routes[1].services = {{kernel::service_name{"claims"}, 1}};
    start();
    constexpr int endless_count = 40;
    std::vector<std::shared_ptr<scripted_caller>> endless;
    endless.reserve(endless_count);
    for (int index = 0; index < endless_count; ++index) {
        endless.push_back(send(get_request("e" + std::to_string(index))));
    }
    run_until([this] { return upstreams[0].received.size() >= 10; });
    context.run_for(std::chrono::milliseconds{50});
    for (int index = 0; index < 10; ++index) {
        const auto claim = call(post_request("c" + std::to_string(index), "claim"));
        CHECK(claim->status == 200);
        CHECK(claim->body == "filed");
    }
    run_until([&endless] {
        return std::all_of(endless.begin(), endless.end(), [](const auto& caller) { return caller->done; });
    });
    for (const auto& caller : endless) {
        CHECK(caller->status != 0);
    }
    CHECK(memory().peak() <= memory().capacity());
    run_until([this] { return memory().used() == 0; });
}

// Guards against a process that exceeds its memory limit, and ends with all requests in progress, because many callers
// send large bodies at once (review, LOST).
TEST_CASE_FIXTURE(
    memory_limit_fixture,
    "proxy_host: more large uploads than there is memory for: some get 503 at once, the others are served")
{
    auto& upstream =
        add_upstream("u1", [](const auto& request) { return scripted_response{signed_response(request, "ok")}; });
    store.upstreams[0].slots = 1000;
    settings.reloadable.memory_limit_bytes = 8 * megabyte;
    start();
    const std::string body(900'000, 'p');
    const auto chunked = [&body](const std::string& id) {
        auto request = post_request(id, body);
        const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
        request.replace(request.find(length), length.size(), "Transfer-Encoding: chunked\r\n");
        const auto body_start = request.find("\r\n\r\n") + 4;
        return request.insert(body_start, "dbba0\r\n") + "\r\n0\r\n\r\n";
    };
    std::vector<std::shared_ptr<scripted_caller>> callers;
    for (int index = 0; index < 8; ++index) {
        const auto id = "r" + std::to_string(index);
        callers.push_back(send(index % 2 == 0 ? post_request(id, body) : chunked(id)));
    }
    run_until([&callers] {
        return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->done; });
    });
    std::size_t served = 0;
    for (const auto& caller : callers) {
        CHECK((caller->status == 200 || caller->status == 503));
        served += caller->status == 200 ? 1 : 0;
        if (caller->status == 503) {
            CHECK(caller->headers.count("Retry-After") == 1);
            CHECK(caller->headers.count("X-Request") == 1);
        }
    }
    CHECK(served >= 2);
    CHECK(served < callers.size());
    CHECK(upstream.received.size() == served);
    CHECK(memory().peak() <= memory().capacity());
    run_until([this] { return memory().used() == 0; });
    CHECK(call(post_request("after", body))->status == 200);
}

// Guards against memory that is never returned, which would refuse requests for good.
TEST_CASE_FIXTURE(memory_limit_fixture, "proxy_host: requests of every end: all memory is returned")
{
    add_upstream("u1", [](const http_request& request) {
        return scripted_response{signed_response(request, std::string(200'000, 'a')), false, request.body() == "hang"};
    });
    store.upstreams[0].slots = 1000;
    start();
    CHECK(call(post_request("r1", std::string(300'000, 'b')))->status == 200);
    CHECK(call(get_request("r2"))->status == 200);
    CHECK(call("nonsense\r\n\r\n")->status == 400);
    const auto leaving = send(post_request("r3", "hang"));
    const auto cut = send(post_request("r4", std::string(300'000, 'b')).substr(0, 100'000));
    context.run_for(std::chrono::milliseconds{100});
    CHECK(memory().used() > 300'000);
    leaving->disconnect();
    cut->disconnect();
    run_until([this] { return memory().used() == 0; });
}

} // namespace wisterialane::proxy
