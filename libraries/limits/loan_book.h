#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/limits/loan.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace wisterialane::limits {

/// Borrower side of one customer: the loans that this host may use, and what it asked each lender for last.
class loan_book {
public:
    enum class answer_state { awaited, accepted, failed };
    enum class responsiveness { responsive, unresponsive };

    struct lender_account {
        /// The last request.
        std::uint64_t sequence = 0;
        capacity wanted;
        kernel::time_point sent_at;
        answer_state answer = answer_state::awaited;
        /// Unresponsive from a failed request until an answer arrives.
        responsiveness response = responsiveness::responsive;
        /// The loan in use, which may stem from an earlier request.
        capacity granted;
        kernel::time_point ends;
    };

    /// Call with a time at or before the sending: the loan runs from here.
    void record_request(const kernel::instance_id& lender, std::uint64_t sequence, const capacity& wanted,
                        kernel::time_point now);

    /// Takes the answer to the last request to this lender; the loan replaces the running one. Any other answer (late,
    /// repeated, ended, not valid) has no effect. Returns whether it had one.
    bool accept(const kernel::instance_id& lender, const loan& item, kernel::time_point now);

    /// The request will not be answered. Has no effect if it was, or if it is not the last one.
    void record_failure(const kernel::instance_id& lender, std::uint64_t sequence);

    /// Capacity of the loans that run at `now`.
    [[nodiscard]] capacity borrowed(kernel::time_point now) const;

    /// The earliest end of a loan after `since`, if there is one.
    [[nodiscard]] std::optional<kernel::time_point> next_end(kernel::time_point since) const;

    /// What is known of a lender, or null if it was never asked.
    [[nodiscard]] const lender_account* find(const kernel::instance_id& lender) const;

    /// Forgets lenders without a running loan that were not asked for two loan durations.
    void prune(kernel::time_point now);

private:
    std::unordered_map<kernel::instance_id, lender_account> lenders_;
};

} // namespace wisterialane::limits
