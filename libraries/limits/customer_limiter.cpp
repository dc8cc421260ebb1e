#include "libraries/limits/customer_limiter.h"

#include "libraries/limits/capacity_arithmetic.h"
#include "libraries/limits/home_selector.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace wisterialane::limits {
namespace {

/// A request without an answer is repeated after this time, which is longer than the deadline of a call between hosts.
constexpr std::chrono::milliseconds answer_timeout{1200};

/// Bounds the requests to a lender while requests find no token.
constexpr std::chrono::milliseconds shortage_interval{100};

/// As above, for a lender that granted less than it was asked for and is unlikely to grant more so soon.
constexpr std::chrono::milliseconds limited_lender_interval{500};

/// A smaller growth of demand waits for the next renewal.
constexpr double considerable_growth = 1.1;

/// A lender that granted less than this part of the wanted capacity counts as limited.
constexpr double granted_in_full = 0.99;

bool is_at_least(const capacity& left, const capacity& right)
{
    return left.rate_per_second >= right.rate_per_second && left.burst >= right.burst;
}

bool is_limited(const loan_book::lender_account& account)
{
    return account.response == loan_book::responsiveness::unresponsive ||
           (account.answer == loan_book::answer_state::accepted &&
            !is_at_least(account.granted, scaled(account.wanted, granted_in_full)));
}

} // namespace

customer_limiter::customer_limiter(kernel::instance_id self, kernel::time_point since)
    : self_{std::move(self)}, demand_{since}, bucket_{since}, refreshed_{since}
{}

void customer_limiter::apply_version(kernel::version_number version, const capacity& limit,
                                     const std::vector<kernel::instance_id>& homes, kernel::time_point now)
{
    limit_ = limit;
    homes_ = homes;
    shares_.record(version, share_of(self_, homes_, limit_));
    const auto usable = shares_.usable(settled_);
    if (usable == ledger_.share()) {
        return;
    }
    // A host that was frozen learns of the version late, and others may use the share already. The time since the last
    // refill therefore yields no tokens.
    ledger_.set_share(usable);
    refreshed_ = std::max(refreshed_, now);
    bucket_.restart(sum(ledger_.own_capacity(refreshed_), book_.borrowed(refreshed_)), refreshed_);
}

void customer_limiter::settle(kernel::version_number settled, kernel::time_point now)
{
    if (settled.value() <= settled_.value()) {
        return;
    }
    refresh(now);
    settled_ = settled;
    ledger_.set_share(shares_.usable(settled_));
    refresh(now);
}

admission_outcome customer_limiter::admit(kernel::time_point now)
{
    demand_.count_arrival(std::max(now, refreshed_));
    return retry(now);
}

admission_outcome customer_limiter::retry(kernel::time_point now)
{
    now = refresh(now);
    if (bucket_.try_take(now)) {
        return admission_outcome::admitted;
    }
    demand_.count_shortage(now);
    return admission_outcome::refused;
}

kernel::duration customer_limiter::time_to_token(kernel::time_point now) const
{
    return bucket_.time_to_token(now);
}

std::vector<kernel::instance_id> customer_limiter::due_lenders(kernel::time_point now) const
{
    std::vector<kernel::instance_id> due;
    if (is_zero(shortfall(now))) {
        return due;
    }
    std::copy_if(homes_.begin(), homes_.end(), std::back_inserter(due),
                 [this, now](const auto& lender) { return is_due(lender, now); });
    return due;
}

capacity customer_limiter::start_request(const kernel::instance_id& lender, std::uint64_t sequence,
                                         kernel::time_point now)
{
    const auto wanted = wanted_from(lender, now);
    book_.record_request(lender, sequence, wanted, now);
    return wanted;
}

bool customer_limiter::accept(const kernel::instance_id& lender, const loan& item, kernel::time_point now)
{
    now = refresh(now);
    const auto accepted = book_.accept(lender, item, now);
    refresh(now);
    return accepted;
}

std::optional<capacity> customer_limiter::lend(const kernel::instance_id& borrower, std::uint64_t sequence,
                                               const capacity& wanted, kernel::time_point now)
{
    now = refresh(now);
    ledger_.set_own_demand(demand_.wanted(limit_, now));
    auto granted = ledger_.lend(borrower, sequence, wanted, now);
    refresh(now);
    return granted;
}

bool customer_limiter::is_idle(kernel::duration idle, kernel::time_point now)
{
    if (now - demand_.last_arrival() <= idle || ledger_.has_running_loans(now) || book_.next_end(now)) {
        return false;
    }
    // Capacity that came back from borrowers counts before the tokens are compared with it.
    const auto state = state_at(now);
    return state.tokens >= state.usable.burst;
}

customer_limiter::usable_state customer_limiter::state_at(kernel::time_point now)
{
    now = refresh(now);
    return {bucket_.current_capacity(), bucket_.tokens(now)};
}

capacity customer_limiter::shortfall(kernel::time_point now) const
{
    return remainder(demand_.wanted(limit_, now), ledger_.own_capacity(now));
}

// Divides the shortfall evenly over the homes. What limited homes do not grant is asked of the others.
capacity customer_limiter::wanted_from(const kernel::instance_id& lender, kernel::time_point now) const
{
    const auto total = shortfall(now);
    capacity expected;
    double lender_count = 0;
    double full_count = 0;
    auto lender_limited = false;
    for (const auto& home : homes_) {
        if (home == self_) {
            continue;
        }
        lender_count += 1;
        const auto* account = book_.find(home);
        const auto limited = account != nullptr && is_limited(*account);
        lender_limited = lender_limited || (limited && home == lender);
        if (!limited) {
            full_count += 1;
        }
        else if (account->ends > now) {
            expected = sum(expected, account->granted);
        }
    }
    const auto even_part = scaled(total, 1 / std::max(1.0, lender_count));
    if (lender_limited || full_count == 0) {
        return even_part;
    }
    return larger(even_part, scaled(remainder(total, expected), 1 / full_count));
}

bool customer_limiter::is_due(const kernel::instance_id& lender, kernel::time_point now) const
{
    if (lender == self_) {
        return false;
    }
    const auto* account = book_.find(lender);
    if (account == nullptr) {
        return true;
    }
    const auto age = now - account->sent_at;
    if (account->answer == loan_book::answer_state::awaited) {
        return age >= answer_timeout;
    }
    if (age >= loan_duration / 2) {
        return true;
    }
    const auto interval = is_limited(*account) ? limited_lender_interval : shortage_interval;
    return demand_.is_short(now) && age >= interval &&
           !is_at_least(scaled(account->wanted, considerable_growth), wanted_from(lender, now));
}

// Ended loans change the capacity at their ends, not at the time of the next call: tokens refilled in between, and
// tokens above the smaller burst, would come from capacity that the lender uses again.
kernel::time_point customer_limiter::refresh(kernel::time_point now)
{
    now = std::max(now, refreshed_);
    for (auto end = book_.next_end(refreshed_); end && *end <= now; end = book_.next_end(*end)) {
        bucket_.set_capacity(sum(ledger_.own_capacity(refreshed_), book_.borrowed(*end)), *end);
    }
    bucket_.set_capacity(sum(ledger_.own_capacity(now), book_.borrowed(now)), now);
    book_.prune(now);
    refreshed_ = now;
    return now;
}

} // namespace wisterialane::limits
