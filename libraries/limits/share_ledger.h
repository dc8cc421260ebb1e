#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/limits/loan.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wisterialane::limits {

/// How long a lender remembers the sequence number of a silent borrower. A request that comes even later gets a loan
/// that its borrower does not use.
inline constexpr std::chrono::seconds sequence_memory{60};

/// Home side of one customer: this host's share of the customer's limit and the loans that run against it.
///
/// A borrower uses one loan of this lender at a time, but the lender does not know which of its answers arrived. Until
/// an earlier grant has certainly ended, the larger of the running grants counts as lent.
class share_ledger {
public:
    /// A smaller share takes effect at once, except for the loans that already run against the larger one.
    void set_share(const capacity& share) { share_ = share; }

    [[nodiscard]] const capacity& share() const { return share_; }

    /// What this host itself wants of its share.
    void set_own_demand(const capacity& demand) { own_demand_ = demand; }

    /// Grants what a max-min division over all demands gives the borrower, as far as other running loans leave it free.
    /// Returns nothing if the sequence number is not newer than the borrower's last one, or if `wanted` is not valid.
    std::optional<capacity> lend(const kernel::instance_id& borrower, std::uint64_t sequence, const capacity& wanted,
                                 kernel::time_point now);

    /// Capacity that is lent at `now`.
    [[nodiscard]] capacity lent(kernel::time_point now) const;

    /// What this host may use itself: its share less what is lent.
    [[nodiscard]] capacity own_capacity(kernel::time_point now) const;

    [[nodiscard]] bool has_running_loans(kernel::time_point now) const;

private:
    struct grant {
        capacity granted;
        kernel::time_point ends;
    };

    struct borrower_account {
        std::uint64_t sequence = 0;
        kernel::time_point requested_at;
        capacity wanted;
        std::vector<grant> grants;
    };

    /// Forgets ended loans, and borrowers that were silent for `sequence_memory`.
    void prune(kernel::time_point now);

    [[nodiscard]] static capacity lent_to(const borrower_account& account, kernel::time_point now);
    /// Call after `prune`.
    [[nodiscard]] capacity fair_part(const kernel::instance_id& borrower) const;

    capacity share_;
    capacity own_demand_;
    std::unordered_map<kernel::instance_id, borrower_account> borrowers_;
};

} // namespace wisterialane::limits
