#pragma once

#include "kernel/identifiers.h"
#include "kernel/strong_type.h"
#include "libraries/platform/table.h"

#include <optional>
#include <string>
#include <variant>

namespace wisterialane::claims {

/// Random value that tells the rows of two claims of one request apart: 32 hex digits.
using claim_token = kernel::strong_type<struct claim_token_tag, std::string>;

/// Digest of what a request asks for. Two requests with one id and different digests are different requests.
using request_digest = kernel::strong_type<struct request_digest_tag, std::string>;

/// The right to send one request once.
struct claim_handle {
    std::string row_key;
    claim_token token;
    platform::row_version version;
    request_digest digest;
    kernel::instance_id instance;
};

/// The stored answer of a completed request.
struct completed_answer {
    int status = 0;
    std::string content_type;
    /// Absent if it was too large to store.
    std::optional<std::string> body;
};

struct claim_granted {
    claim_handle handle;
};

/// Another attempt holds the claim; it is unknown whether the request ran.
struct already_claimed {
    kernel::instance_id holder;
};

struct already_completed {
    completed_answer answer;
};

/// The request id was used before for another request.
struct request_id_reused {};

using claim_outcome = std::variant<claim_granted, already_claimed, already_completed, request_id_reused>;

} // namespace wisterialane::claims
