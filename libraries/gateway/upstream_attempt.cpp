#include "libraries/gateway/upstream_attempt.h"

#include "libraries/gateway/forwarded_headers.h"
#include "libraries/http/http_events.h"

#include <utility>

namespace wisterialane::gateway {
namespace {

// A refused connection fails within one round trip; a longer wait means that packets are lost on the way.
constexpr std::chrono::seconds refused_within{1};

constexpr int service_unavailable = 503;

enum class send_outcome { sent, upstream_failed, caller_failed };

send_outcome send_request(http::client_connection& connection, const http::request_head& head, request_body& body)
{
    if (!connection.send_head(head, body.size()) || !connection.send_body(body.beginning())) {
        return send_outcome::upstream_failed;
    }
    while (!body.complete()) {
        const auto bytes = body.next();
        if (!bytes) {
            return send_outcome::caller_failed;
        }
        if (!connection.send_body(*bytes)) {
            return send_outcome::upstream_failed;
        }
    }
    return connection.finish_request() ? send_outcome::sent : send_outcome::upstream_failed;
}

attempt_end classify_missing_answer(const kernel::failure& reason)
{
    if (reason.is(http::http_event::receive_timeout)) {
        return attempt_end::response_timeout;
    }
    if (reason.is(http::http_event::receive_failed)) {
        return attempt_end::closed_without_answer;
    }
    return attempt_end::unusable_answer;
}

attempt_end classify_answer(const attempt_settings& settings, const http::response_head& head)
{
    if (head.status == service_unavailable && head.headers.find(shed_header) == "1") {
        return attempt_end::shed;
    }
    const auto echo = head.headers.find(exchange_header);
    const bool crossed = echo ? *echo != settings.exchange_nonce : settings.echo == echo_policy::required;
    return crossed ? attempt_end::crossed_answer : attempt_end::answered;
}

// On a connection that was used before, a missing answer indicts the connection: a middlebox may have forgotten it.
attempt_end attribute_to_connection(attempt_end end, bool used_before)
{
    const bool silent = end == attempt_end::closed_without_answer || end == attempt_end::response_timeout;
    return used_before && silent ? attempt_end::stale_connection : end;
}

} // namespace

std::string_view to_name(attempt_end end)
{
    switch (end) {
    case attempt_end::answered:
        return "answered";
    case attempt_end::connect_refused:
        return "connect_refused";
    case attempt_end::connect_timeout:
        return "connect_timeout";
    case attempt_end::shed:
        return "shed";
    case attempt_end::stale_connection:
        return "stale_connection";
    case attempt_end::closed_without_answer:
        return "closed_without_answer";
    case attempt_end::response_timeout:
        return "response_timeout";
    case attempt_end::unusable_answer:
        return "unusable_answer";
    case attempt_end::crossed_answer:
        return "crossed_answer";
    case attempt_end::caller_failed:
        return "caller_failed";
    }
    return "unknown";
}

bool may_have_run(attempt_end end)
{
    return end != attempt_end::connect_refused && end != attempt_end::connect_timeout && end != attempt_end::shed;
}

attempt_result run_attempt(http::connection_pool& pool, const attempt_settings& settings,
                           const http::request_head& head, request_body& body)
{
    attempt_result result;
    const auto started = kernel::boot_clock::now();
    auto connection = pool.acquire(settings.address, settings.reuse, started);
    if (!connection) {
        const bool refused = kernel::boot_clock::now() - started < refused_within;
        result.end = refused ? attempt_end::connect_refused : attempt_end::connect_timeout;
        return result;
    }
    const bool used_before = (*connection)->exchanges_started() > 0;
    const auto sent = send_request(**connection, head, body);
    if (sent == send_outcome::caller_failed) {
        result.end = attempt_end::caller_failed;
        return result;
    }
    if (sent == send_outcome::upstream_failed) {
        result.end = attribute_to_connection(attempt_end::closed_without_answer, used_before);
        return result;
    }
    if (settings.on_sent) {
        settings.on_sent();
    }
    auto received = (*connection)->receive_head(settings.response_timeout);
    if (!received) {
        result.end = attribute_to_connection(classify_missing_answer(received.error()), used_before);
        return result;
    }
    result.end = classify_answer(settings, *received);
    result.draining = received->headers.find(draining_header) == "1";
    result.head = std::move(*received);
    if (result.end == attempt_end::answered) {
        result.connection = std::move(*connection);
    }
    return result;
}

} // namespace wisterialane::gateway
