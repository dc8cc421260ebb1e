#pragma once

#include "kernel/failure.h"
#include "libraries/claims/claim_outcome.h"

#include <optional>
#include <string>
#include <string_view>

namespace wisterialane::claims {

/// The value of a claim row.
struct claim_record {
    claim_token token;
    request_digest digest;
    kernel::instance_id instance;
    /// Set once the request is completed.
    std::optional<completed_answer> answer;
};

/// The JSON form of a record, with the body in base64 because row values are UTF-8 text.
[[nodiscard]] std::string write_claim_record(const claim_record& record);

/// Fails with `row_malformed`.
kernel::result<claim_record> read_claim_record(const platform::row& row);

} // namespace wisterialane::claims
