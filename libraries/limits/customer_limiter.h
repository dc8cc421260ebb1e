#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/limits/demand_estimate.h"
#include "libraries/limits/loan.h"
#include "libraries/limits/loan_book.h"
#include "libraries/limits/share_history.h"
#include "libraries/limits/share_ledger.h"
#include "libraries/limits/token_bucket.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace wisterialane::limits {

enum class admission_outcome { admitted, refused };

/// One customer on one host: admits requests against the host's own share and what it borrowed, lends, and decides
/// which loans to ask for.
///
/// Every call but `apply_version` is made while the host's configuration is fresh: a call during a stale period would
/// refill tokens from a share that another host may already use. A call with an earlier time than the last one acts at
/// the last one's time.
class customer_limiter {
public:
    /// `since` is the time from which on tokens are counted. It is before the first call if the share was in force and
    /// unused until then.
    customer_limiter(kernel::instance_id self, kernel::time_point since);

    /// What a configuration version says about the customer. Versions come in increasing order. A smaller share takes
    /// effect at once; a larger one when the version settles.
    void apply_version(kernel::version_number version, const capacity& limit,
                       const std::vector<kernel::instance_id>& homes, kernel::time_point now);

    /// The version of which the share counts as in force everywhere (see `settling_delay`).
    void settle(kernel::version_number settled, kernel::time_point now);

    /// Takes a token for a request that has just arrived.
    [[nodiscard]] admission_outcome admit(kernel::time_point now);

    /// Takes a token for a request that arrived before and waits.
    [[nodiscard]] admission_outcome retry(kernel::time_point now);

    /// Time until there is a token at the present capacity; `duration::max()` if there is none to come.
    [[nodiscard]] kernel::duration time_to_token(kernel::time_point now) const;

    /// Homes that should be asked for a loan now: those without one, those whose loan is at half of its duration, and,
    /// when requests find no token, those of which more is wanted than before.
    [[nodiscard]] std::vector<kernel::instance_id> due_lenders(kernel::time_point now) const;

    /// Records that a request is sent to this lender now and returns the capacity to ask for. Sequence numbers increase
    /// over the life of the instance.
    capacity start_request(const kernel::instance_id& lender, std::uint64_t sequence, kernel::time_point now);

    /// Takes the answer to the last request to this lender. Returns whether it had an effect.
    bool accept(const kernel::instance_id& lender, const loan& item, kernel::time_point now);

    void record_failure(const kernel::instance_id& lender, std::uint64_t sequence)
    {
        book_.record_failure(lender, sequence);
    }

    /// Answers a borrower's request; see `share_ledger::lend`.
    std::optional<capacity> lend(const kernel::instance_id& borrower, std::uint64_t sequence, const capacity& wanted,
                                 kernel::time_point now);

    /// Whether the state can be dropped: no request for `idle`, no running loan in either direction, and a
    /// full bucket, so that a new state for the same share may count its tokens from an earlier time.
    [[nodiscard]] bool is_idle(kernel::duration idle, kernel::time_point now);

    [[nodiscard]] const std::vector<kernel::instance_id>& homes() const { return homes_; }

    /// Own and borrowed capacity, and the tokens that a burst of requests would find.
    struct usable_state {
        capacity usable;
        double tokens = 0;
    };

    [[nodiscard]] usable_state state_at(kernel::time_point now);

private:
    [[nodiscard]] capacity wanted_from(const kernel::instance_id& lender, kernel::time_point now) const;
    [[nodiscard]] capacity shortfall(kernel::time_point now) const;
    [[nodiscard]] bool is_due(const kernel::instance_id& lender, kernel::time_point now) const;
    kernel::time_point refresh(kernel::time_point now);

    kernel::instance_id self_;
    std::vector<kernel::instance_id> homes_;
    capacity limit_;
    share_history shares_;
    kernel::version_number settled_;
    share_ledger ledger_;
    loan_book book_;
    demand_estimate demand_;
    token_bucket bucket_;
    kernel::time_point refreshed_;
};

} // namespace wisterialane::limits
