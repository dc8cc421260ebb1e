#include "libraries/limits/share_ledger.h"

#include "libraries/limits/capacity_arithmetic.h"
#include "libraries/limits/max_min.h"

#include <algorithm>
#include <cstddef>

namespace wisterialane::limits {

std::optional<capacity> share_ledger::lend(const kernel::instance_id& borrower, std::uint64_t sequence,
                                           const capacity& wanted, kernel::time_point now)
{
    if (!is_valid(wanted)) {
        return std::nullopt;
    }
    prune(now);
    auto& account = borrowers_[borrower];
    if (sequence <= account.sequence) {
        return std::nullopt;
    }
    account.sequence = sequence;
    account.requested_at = now;
    account.wanted = wanted;
    const auto lent_to_others = remainder(lent(now), lent_to(account, now));
    const auto granted = smaller(fair_part(borrower), remainder(share_, lent_to_others));
    account.grants.push_back({granted, now + lender_duration});
    return granted;
}

capacity share_ledger::lent(kernel::time_point now) const
{
    capacity total;
    for (const auto& [borrower, account] : borrowers_) {
        total = sum(total, lent_to(account, now));
    }
    return total;
}

capacity share_ledger::own_capacity(kernel::time_point now) const
{
    return remainder(share_, lent(now));
}

bool share_ledger::has_running_loans(kernel::time_point now) const
{
    return std::any_of(borrowers_.begin(), borrowers_.end(), [now](const auto& item) {
        const auto& grants = item.second.grants;
        return std::any_of(grants.begin(), grants.end(), [now](const grant& loan) { return loan.ends > now; });
    });
}

void share_ledger::prune(kernel::time_point now)
{
    for (auto& [borrower, account] : borrowers_) {
        std::erase_if(account.grants, [now](const grant& item) { return item.ends <= now; });
    }
    std::erase_if(borrowers_, [now](const auto& item) {
        return item.second.grants.empty() && now - item.second.requested_at > sequence_memory;
    });
}

capacity share_ledger::lent_to(const borrower_account& account, kernel::time_point now)
{
    capacity largest;
    for (const auto& item : account.grants) {
        if (item.ends > now) {
            largest = larger(largest, item.granted);
        }
    }
    return largest;
}

capacity share_ledger::fair_part(const kernel::instance_id& borrower) const
{
    std::vector<double> rates{own_demand_.rate_per_second};
    std::vector<double> bursts{own_demand_.burst};
    std::size_t position = 0;
    for (const auto& [instance, account] : borrowers_) {
        if (instance == borrower) {
            position = rates.size();
        }
        else if (account.grants.empty()) {
            continue;
        }
        rates.push_back(account.wanted.rate_per_second);
        bursts.push_back(account.wanted.burst);
    }
    return {divide_max_min(share_.rate_per_second, rates)[position], divide_max_min(share_.burst, bursts)[position]};
}

} // namespace wisterialane::limits
