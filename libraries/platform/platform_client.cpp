#include "libraries/platform/platform_client.h"

#include "libraries/http/http_events.h"
#include "libraries/platform/platform_events.h"

#include <utility>

namespace wisterialane::platform {
namespace {

using http::http_event;

// Below the keep-alive time of common servers (5 s and more), so that a read rarely meets a connection that the server
// is closing.
constexpr std::chrono::seconds maximum_idle{4};

// Bounds the memory for one answer; snapshots are the largest objects.
constexpr std::size_t maximum_answer_bytes = 64U * 1024U * 1024U;

kernel::failure read_failure(const kernel::failure& reason)
{
    if (reason.is(http_event::connect_failed) || reason.is(http_event::send_failed) ||
        reason.is(http_event::receive_failed) || reason.is(http_event::body_cut)) {
        return {platform_event::unreachable, reason.subject()};
    }
    if (reason.is(http_event::receive_timeout)) {
        return {platform_event::timeout, reason.subject()};
    }
    return {platform_event::unexpected_answer, std::string{reason.name()}};
}

bool is_refusal(int status)
{
    return status >= 400 && status < 500;
}

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

platform_client::platform_client(kernel::socket_address address, std::chrono::milliseconds request_timeout,
                                 kernel::clock_source clock)
    : address_{std::move(address)}, request_timeout_{request_timeout}, clock_{std::move(clock)}, pool_{maximum_idle}
{}

kernel::result<http::buffered_response> platform_client::read(const std::string& target)
{
    const http::request_head head{"GET", target, {}};
    auto answer = read_once(head, http::connection_reuse::allowed);
    if (!answer && !answer.error().is(http_event::connect_failed)) {
        pool_.discard(address_);
        answer = read_once(head, http::connection_reuse::new_only);
    }
    if (!answer) {
        return tl::unexpected{read_failure(answer.error())};
    }
    if (answer->head.status != 200 && answer->head.status != 404) {
        return kernel::fail(platform_event::unexpected_answer, std::to_string(answer->head.status) + " " + target);
    }
    return answer;
}

kernel::result<http::buffered_response> platform_client::read_once(const http::request_head& head,
                                                                   http::connection_reuse reuse)
{
    auto connection = pool_.acquire(address_, reuse, clock_());
    if (!connection) {
        return tl::unexpected{connection.error()};
    }
    auto answer = http::exchange(**connection, head, "", request_timeout_, maximum_answer_bytes);
    if (answer) {
        pool_.release(std::move(*connection), clock_());
    }
    return answer;
}

kernel::result<http::buffered_response> platform_client::write(const http::request_head& head, std::string_view body)
{
    auto connection = pool_.acquire(address_, http::connection_reuse::new_only, clock_());
    if (!connection) {
        return kernel::fail(platform_event::unreachable, address_.value());
    }
    // The connection is not kept: each write would add one to the pool, and reads use only the newest.
    auto closing = head;
    closing.headers.set("Connection", "close");
    auto answer = http::exchange(**connection, closing, body, request_timeout_, maximum_answer_bytes);
    if (!answer) {
        return kernel::fail(platform_event::outcome_unknown, std::string{answer.error().name()} + " " + head.target);
    }
    const int status = answer->head.status;
    if (is_success(status)) {
        return answer;
    }
    if (status == 412) {
        return kernel::fail(platform_event::conflict, head.target);
    }
    const auto event = is_refusal(status) ? platform_event::unexpected_answer : platform_event::outcome_unknown;
    return kernel::fail(event, std::to_string(status) + " " + head.target);
}

} // namespace wisterialane::platform
