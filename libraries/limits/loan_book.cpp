#include "libraries/limits/loan_book.h"

#include "libraries/limits/capacity_arithmetic.h"

#include <algorithm>

namespace wisterialane::limits {

void loan_book::record_request(const kernel::instance_id& lender, std::uint64_t sequence, const capacity& wanted,
                               kernel::time_point now)
{
    auto& account = lenders_[lender];
    account.sequence = sequence;
    account.wanted = wanted;
    account.sent_at = now;
    account.answer = answer_state::awaited;
}

bool loan_book::accept(const kernel::instance_id& lender, const loan& item, kernel::time_point now)
{
    const auto found = lenders_.find(lender);
    if (found == lenders_.end() || !is_valid(item.granted)) {
        return false;
    }
    auto& account = found->second;
    const auto ends = account.sent_at + loan_duration;
    if (item.sequence != account.sequence || account.answer == answer_state::accepted || ends <= now) {
        return false;
    }
    account.answer = answer_state::accepted;
    account.response = responsiveness::responsive;
    account.granted = item.granted;
    account.ends = ends;
    return true;
}

void loan_book::record_failure(const kernel::instance_id& lender, std::uint64_t sequence)
{
    const auto found = lenders_.find(lender);
    if (found != lenders_.end() && found->second.sequence == sequence &&
        found->second.answer == answer_state::awaited) {
        found->second.answer = answer_state::failed;
        found->second.response = responsiveness::unresponsive;
    }
}

capacity loan_book::borrowed(kernel::time_point now) const
{
    capacity total;
    for (const auto& [lender, account] : lenders_) {
        if (account.ends > now) {
            total = sum(total, account.granted);
        }
    }
    return total;
}

std::optional<kernel::time_point> loan_book::next_end(kernel::time_point since) const
{
    std::optional<kernel::time_point> earliest;
    for (const auto& [lender, account] : lenders_) {
        if (account.ends > since) {
            earliest = earliest ? std::min(*earliest, account.ends) : account.ends;
        }
    }
    return earliest;
}

const loan_book::lender_account* loan_book::find(const kernel::instance_id& lender) const
{
    const auto found = lenders_.find(lender);
    return found == lenders_.end() ? nullptr : &found->second;
}

void loan_book::prune(kernel::time_point now)
{
    std::erase_if(lenders_, [now](const auto& item) {
        return item.second.ends <= now && item.second.sent_at + 2 * loan_duration <= now;
    });
}

} // namespace wisterialane::limits
