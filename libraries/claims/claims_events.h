#pragma once

#include <string_view>

namespace wisterialane::claims {

/// Events and failures 6000 to 6999.
enum class claims_event {
    /// It could not be decided whether the claim was granted; the request must not run.
    claims_unavailable = 6000,
    /// The row does not belong to the handle any more.
    claim_not_held = 6001,
    /// The completion may not be stored; repeats of the request may be refused as already claimed.
    completion_not_stored = 6002,
    row_malformed = 6003,
    /// A release failed and is kept for a later attempt.
    release_deferred = 6004,
    /// A release was given up; repeats of the request are refused as already claimed.
    release_dropped = 6005,
};

[[nodiscard]] std::string_view to_name(claims_event event);

} // namespace wisterialane::claims
