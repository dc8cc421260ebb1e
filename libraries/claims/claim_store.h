#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/claims/claim_outcome.h"
#include "libraries/claims/claim_record.h"
#include "libraries/platform/table.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace wisterialane::claims {

/// Longer bodies are not stored: the request is completed without one.
constexpr std::size_t maximum_stored_body_bytes = 16U * 1024U;

/// Grants each request id of a customer at most once over all hosts, with one row of the platform's table per id.
/// Thread-safe; calls block as those of the table do.
///
/// A claim does not expire, so that a holder that was paused is still the only one when it resumes.
/// FIXME: rows are never deleted, so the table grows by one row per non-idempotent request.
class claim_store {
public:
    static constexpr std::size_t default_maximum_releases = 1'000;

    /// The table must outlive the store. `maximum_releases` bounds the releases that are kept for a later attempt.
    explicit claim_store(platform::table& rows, std::size_t maximum_releases = default_maximum_releases)
        : rows_{rows}, maximum_releases_{maximum_releases}
    {}

    /// Claims a request. Only `claim_granted` allows it to be sent. Fails with `claims_unavailable` when the outcome
    /// cannot be decided; the request is then not run, and a row that was left behind is released later.
    kernel::result<claim_outcome> claim(const kernel::customer_name& customer, std::string_view idempotency_key,
                                        const request_digest& digest, const kernel::instance_id& instance);

    /// Stores the answer of a request that ran; without `body`, or with one that is too long, only that it ran and its
    /// status. Fails with `claim_not_held` or `completion_not_stored`; the claim stays
    /// taken in both cases, so that the request does not run again.
    kernel::result<void> complete(const claim_handle& handle, int status, std::string_view content_type,
                                  std::optional<std::string_view> body);

    /// Gives up a claim whose request was certainly not sent. A release that fails is kept and repeated by
    /// `retry_releases`, or dropped when too many are kept.
    void release(const claim_handle& handle);

    /// Repeats some kept releases, oldest first, until the platform fails. Meant to be called every second or so.
    void retry_releases();

    [[nodiscard]] std::size_t kept_releases() const;

private:
    enum class insertion { took_effect, undecided };

    enum class completion { stored, missing };

    enum class release_outcome { done, try_again, platform_failed };

    /// A row to delete, if it still carries the token, which no request uses.
    struct kept_release {
        std::string row_key;
        claim_token token;
        insertion inserted = insertion::took_effect;
        unsigned absent_reads = 0;
    };

    kernel::result<completion> read_completion(const claim_handle& handle);
    void defer_release(kept_release release);
    void keep_release(kept_release release);
    std::optional<kept_release> take_release();
    release_outcome attempt_release(kept_release& release);

    platform::table& rows_;
    std::size_t maximum_releases_;
    mutable std::mutex mutex_;
    std::deque<kept_release> releases_;
};

} // namespace wisterialane::claims
