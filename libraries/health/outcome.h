#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "kernel/strong_type.h"

#include <cstdint>

namespace wisterialane::health {

enum class outcome_kind {
    /// Whole and correct answer, in `latency`.
    good,
    /// Answer with a server error.
    error,
    /// Answer to another request, or malformed.
    wrong_answer,
    /// Connection closed inside the answer.
    cut,
    response_timeout,
    connect_refused,
    connect_timeout,
    /// The upstream said that it did not run the request.
    shed,
    /// Connection closed after the whole request was sent and before any answer.
    crashed,
    /// Ended by the caller or by its deadline; says nothing about the upstream.
    cancelled,
};

struct outcome {
    outcome_kind kind = outcome_kind::good;
    /// From the end of the request until the head of the answer; meaningful for `good`.
    kernel::duration latency{};
    /// Hash of the request that is the same when a caller sends it again; meaningful for `crashed` and `good`, 0 if
    /// none.
    std::uint64_t fingerprint = 0;
};

/// Identifies one choice until it is finished.
using choice_handle = kernel::strong_type<struct choice_handle_tag, std::uint64_t>;

/// An upstream that a request is counted in flight on.
struct chosen_upstream {
    kernel::upstream_name name;
    kernel::socket_address address;
    choice_handle handle;
};

} // namespace wisterialane::health
