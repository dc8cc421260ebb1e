#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace wisterialane::limits {

/// A part of a customer's rate and burst over all hosts.
struct capacity {
    /// Tokens a second.
    double rate_per_second = 0;
    /// Tokens that may be held at once.
    double burst = 0;

    friend bool operator==(const capacity&, const capacity&) = default;
};

/// How long a borrower may use a loan, counted from the time at which it sent the request.
inline constexpr std::chrono::milliseconds loan_duration{4000};

/// Upper bound of the ratio between the rates of two hosts' clocks.
inline constexpr double clock_rate_margin = 1.01;

/// How long a lender gives a loan up, counted from the grant, so that the borrower's use has ended on any clock.
inline constexpr std::chrono::milliseconds lender_duration{
    static_cast<std::chrono::milliseconds::rep>(static_cast<double>(loan_duration.count()) * clock_rate_margin)};
static_assert(lender_duration == std::chrono::milliseconds{4040});

/// One customer's part of a request for loans from one host to a home host of that customer.
struct loan_request {
    kernel::customer_name customer;
    kernel::version_number configuration_version;
    /// Identifies the request among those of this borrower; a repeated or late request with a number that is not
    /// greater than the last one is ignored.
    std::uint64_t sequence = 0;
    /// The whole capacity that the borrower wants from this lender, not an addition to a running loan.
    capacity wanted;
};

/// The answer to one loan request. It replaces the borrower's running loan of this customer from this lender.
struct loan {
    kernel::customer_name customer;
    std::uint64_t sequence = 0;
    capacity granted;
};

} // namespace wisterialane::limits
