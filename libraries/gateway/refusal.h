#pragma once

#include "libraries/http/server_exchange.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace wisterialane::gateway {

/// What a refusal says about whether the request ran on an upstream.
enum class execution { not_run, ran, unknown };

enum class refusal_reason {
    malformed,
    key_required,
    key_refused,
    no_route,
    request_id_required,
    request_id_reused,
    body_too_large,
    rate_limited,
    overloaded,
    configuration_stale,
    no_upstream,
    claims_unavailable,
    already_claimed,
    quarantined,
    deadline,
    upstream_failed,
    answer_mismatch,
    stopping,
};

/// An answer of the host itself, in place of an upstream's.
struct refusal {
    refusal_reason reason = refusal_reason::malformed;
    execution ran = execution::not_run;
    /// Set where sending the request again later can help.
    std::optional<std::chrono::milliseconds> retry_after;
};

/// The name in `Wisterialane-Reason` and in the JSON body.
[[nodiscard]] std::string_view to_name(refusal_reason reason);
[[nodiscard]] int status_of(refusal_reason reason);

/// "no", "yes" or "unknown".
[[nodiscard]] std::string_view to_name(execution ran);

/// Sends the refusal. Failures are not reported, because a caller that is gone needs no answer.
void send_refusal(http::server_exchange& exchange, const refusal& answer);

} // namespace wisterialane::gateway
