#include "libraries/gateway/refusal.h"

#include <array>
#include <cstddef>
#include <string>
#include <utility>

namespace wisterialane::gateway {
namespace {

struct reason_description {
    refusal_reason reason;
    std::string_view name;
    int status;
};

constexpr std::array reasons{
    reason_description{refusal_reason::malformed, "malformed", 400},
    reason_description{refusal_reason::key_required, "key-required", 401},
    reason_description{refusal_reason::key_refused, "key-refused", 403},
    reason_description{refusal_reason::no_route, "no-route", 404},
    reason_description{refusal_reason::request_id_required, "request-id-required", 400},
    reason_description{refusal_reason::request_id_reused, "request-id-reused", 422},
    reason_description{refusal_reason::body_too_large, "body-too-large", 413},
    reason_description{refusal_reason::rate_limited, "rate-limited", 429},
    reason_description{refusal_reason::overloaded, "overloaded", 503},
    reason_description{refusal_reason::configuration_stale, "configuration-stale", 503},
    reason_description{refusal_reason::no_upstream, "no-upstream", 503},
    reason_description{refusal_reason::claims_unavailable, "claims-unavailable", 503},
    reason_description{refusal_reason::already_claimed, "already-claimed", 409},
    reason_description{refusal_reason::quarantined, "quarantined", 422},
    reason_description{refusal_reason::deadline, "deadline", 504},
    reason_description{refusal_reason::upstream_failed, "upstream-failed", 502},
    reason_description{refusal_reason::answer_mismatch, "answer-mismatch", 502},
    reason_description{refusal_reason::stopping, "stopping", 503},
};

constexpr bool in_order_of_enumeration()
{
    for (std::size_t index = 0; index < reasons.size(); ++index) {
        if (static_cast<std::size_t>(reasons[index].reason) != index) {
            return false;
        }
    }
    return true;
}

static_assert(in_order_of_enumeration(), "the table is indexed by the enumerator");

const reason_description& describe(refusal_reason reason)
{
    return reasons[static_cast<std::size_t>(reason)];
}

// Retry-After counts whole seconds.
std::string whole_seconds(std::chrono::milliseconds delay)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(delay).count());
}

} // namespace

std::string_view to_name(refusal_reason reason)
{
    return describe(reason).name;
}

int status_of(refusal_reason reason)
{
    return describe(reason).status;
}

std::string_view to_name(execution ran)
{
    switch (ran) {
    case execution::not_run:
        return "no";
    case execution::ran:
        return "yes";
    case execution::unknown:
        return "unknown";
    }
    return "unknown";
}

void send_refusal(http::server_exchange& exchange, const refusal& answer)
{
    // An unread body would have to be received and dropped before the next request of the connection.
    if (exchange.request_body().framing != http::body_framing::none) {
        exchange.close_connection();
    }
    const std::string reason{to_name(answer.reason)};
    const std::string ran{to_name(answer.ran)};
    http::header_list headers;
    headers.add("Content-Type", "application/json");
    headers.add("Wisterialane-Ran", ran);
    headers.add("Wisterialane-Reason", reason);
    if (answer.retry_after) {
        headers.add("Retry-After", whole_seconds(*answer.retry_after));
    }
    (void)exchange.respond(status_of(answer.reason), std::move(headers),
                           R"({"reason":")" + reason + R"(","ran":")" + ran + "\"}");
}

} // namespace wisterialane::gateway
