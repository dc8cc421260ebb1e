#include "services/limit_service.h"

#include "kernel/event_log.h"
#include "libraries/limits/capacity_arithmetic.h"
#include "libraries/limits/limits_events.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace wisterialane::services {
namespace {

using limits::admission_outcome;
using real_clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds longest_wait{50};
constexpr std::chrono::milliseconds shortest_wait{1};

/// Bound the threads that wait for tokens, of one customer and of all.
constexpr std::size_t maximum_waiting_of_customer = 32;
constexpr std::size_t maximum_waiting = 256;

constexpr std::chrono::milliseconds planning_interval{50};
/// Bounds the planning that requests without tokens cause.
constexpr std::chrono::milliseconds shortest_planning_interval{5};

/// A lender that does not answer occupies a thread for the deadline of a call. Several can fail at once, and the
/// others must still be asked.
constexpr std::size_t caller_count = 8;
constexpr std::chrono::seconds unreachable_lender_pause{1};

constexpr std::chrono::seconds idle_time{60};
constexpr std::chrono::seconds idle_check_interval{1};
constexpr std::chrono::seconds refusal_memory{60};

constexpr std::chrono::milliseconds shortest_retry_after{100};
constexpr std::chrono::seconds longest_retry_after{5};
/// When no token is to come at the present capacity, or the configuration is stale.
constexpr std::chrono::seconds default_retry_after{1};

} // namespace

limit_service::limit_service(kernel::instance_id self, configuration::configuration_view& view,
                             kernel::clock_source clock, loan_hook ask)
    : self_{std::move(self)}, view_{view}, clock_{std::move(clock)}, ask_{std::move(ask)}
{
    view_.add_listener([this](const configuration::configuration_set& set) {
        const std::lock_guard lock{mutex_};
        observe(set);
    });
}

limit_service::~limit_service()
{
    stop();
}

kernel::result<void> limit_service::start()
{
    view_.read([this](const configuration::configuration_set& set) {
        const std::lock_guard lock{mutex_};
        observe(set);
    });
    {
        const std::lock_guard lock{mutex_};
        stopping_ = false;
    }
    for (std::size_t index = 0; index < caller_count; ++index) {
        callers_.emplace_back([this] { run_calls(); });
    }
    const std::lock_guard lock{planner_mutex_};
    planner_.emplace([this] { return plan(); });
    return {};
}

void limit_service::stop()
{
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    tokens_changed_.notify_all();
    calls_due_.notify_all();
    {
        const std::lock_guard lock{planner_mutex_};
        planner_.reset();
    }
    for (auto& caller : callers_) {
        caller.join();
    }
    callers_.clear();
}

admission limit_service::admit(const kernel::customer_name& customer, kernel::time_point now)
{
    now = not_before_now(now);
    if (!is_fresh(now)) {
        return {admission_outcome::refused, default_retry_after};
    }
    switch (try_first(customer, now)) {
    case first_try::admitted:
        return {admission_outcome::admitted, {}};
    case first_try::refused:
        return refuse(customer, now);
    case first_try::waits:
        break;
    }
    {
        // Asks for loans at once instead of at the next planned time.
        const std::lock_guard lock{planner_mutex_};
        if (planner_) {
            planner_->wake();
        }
    }
    return wait_for_token(customer);
}

std::vector<limits::loan> limit_service::handle_loan_requests(const kernel::instance_id& borrower,
                                                              const std::vector<limits::loan_request>& requests,
                                                              kernel::time_point now)
{
    now = not_before_now(now);
    std::vector<limits::loan> loans;
    // A host with a stale configuration may own a share that was moved to another host.
    if (!is_fresh(now)) {
        return loans;
    }
    make_lending_states(requests, now);
    const std::lock_guard lock{mutex_};
    for (const auto& request : requests) {
        if (!limits::is_valid(request.wanted)) {
            kernel::log_event(kernel::severity::warning, limits::limits_event::malformed_loan_request,
                              {{"borrower", borrower.value()}, {"customer", request.customer.value()}});
            continue;
        }
        auto* state = find_state(request.customer);
        if (state == nullptr) {
            continue;
        }
        if (const auto granted = state->limiter.lend(borrower, request.sequence, request.wanted, now)) {
            loans.push_back({request.customer, request.sequence, *granted});
        }
    }
    return loans;
}

std::vector<configuration::roster_entry> limit_service::home_addresses(const kernel::customer_name& customer)
{
    std::vector<configuration::roster_entry> entries;
    view_.read([&](const configuration::configuration_set& set) {
        const auto limit = find_limit(set, customer);
        if (!limit) {
            return;
        }
        const std::lock_guard lock{mutex_};
        observe(set);
        for (const auto& home : versions_.homes(customer, *limit)) {
            if (const auto* entry = versions_.hosts().find(home)) {
                entries.push_back(*entry);
            }
        }
    });
    return entries;
}

std::vector<refused_customer> limit_service::recently_refused(kernel::time_point now) const
{
    std::vector<refused_customer> refused;
    {
        const std::lock_guard lock{mutex_};
        for (const auto& [customer, state] : customers_) {
            if (state.last_refused && now - *state.last_refused <= refusal_memory) {
                refused.push_back({customer, *state.last_refused, state.refusals});
            }
        }
    }
    std::sort(refused.begin(), refused.end(),
              [](const auto& left, const auto& right) { return left.customer.value() < right.customer.value(); });
    return refused;
}

std::size_t limit_service::active_customers() const
{
    const std::lock_guard lock{mutex_};
    return customers_.size();
}

bool limit_service::is_fresh(kernel::time_point now) const
{
    return view_.freshness_at(now) == configuration::freshness::fresh;
}

// A thread that was paused after it read the clock must not use a loan that has ended since.
kernel::time_point limit_service::not_before_now(kernel::time_point now) const
{
    return std::max(now, clock_());
}

void limit_service::observe(const configuration::configuration_set& set)
{
    if (set.version().value() <= versions_.newest().value()) {
        return;
    }
    const auto roster_before = versions_.hosts();
    versions_.observe(set);
    const auto now = clock_();
    for (auto& [customer, state] : customers_) {
        versions_.apply_newest(customer, find_limit(set, customer).value_or(limits::capacity{}), state.limiter, now);
    }
    if (roster_before != versions_.hosts()) {
        kernel::log_event(kernel::severity::information, limits::limits_event::shares_changed,
                          {{"version", std::to_string(set.version().value())},
                           {"instances", std::to_string(versions_.hosts().entries.size())}});
    }
}

limit_service::customer_state* limit_service::find_state(const kernel::customer_name& customer)
{
    const auto found = customers_.find(customer);
    return found == customers_.end() ? nullptr : &found->second;
}

// A state is dropped only with a full bucket, so the tokens of a new one may count from the time since which the
// settled shares are in force.
limit_service::customer_state& limit_service::make_state(const kernel::customer_name& customer,
                                                         const limits::capacity& limit, kernel::time_point now)
{
    const auto since = settled_.value() > 0 ? settled_since_ : now;
    auto& state =
        customers_.emplace(customer, customer_state{limits::customer_limiter{self_, since}, 0, 0, std::nullopt})
            .first->second;
    versions_.apply_all(customer, limit, state.limiter, since);
    state.limiter.settle(settled_, since);
    return state;
}

limit_service::first_try limit_service::try_first(customer_state& state, kernel::time_point now)
{
    if (state.limiter.admit(now) == admission_outcome::admitted) {
        return first_try::admitted;
    }
    if (stopping_ || state.waiting >= maximum_waiting_of_customer || waiting_ >= maximum_waiting) {
        return first_try::refused;
    }
    ++state.waiting;
    ++waiting_;
    return first_try::waits;
}

limit_service::first_try limit_service::try_first(const kernel::customer_name& customer, kernel::time_point now)
{
    {
        const std::lock_guard lock{mutex_};
        if (auto* state = find_state(customer)) {
            return try_first(*state, now);
        }
    }
    auto outcome = first_try::refused;
    view_.read([&](const configuration::configuration_set& set) {
        const auto limit = find_limit(set, customer);
        if (!limit) {
            return;
        }
        const std::lock_guard lock{mutex_};
        observe(set);
        auto* state = find_state(customer);
        outcome = try_first(state != nullptr ? *state : make_state(customer, *limit, now), now);
    });
    return outcome;
}

admission limit_service::wait_for_token(const kernel::customer_name& customer)
{
    const auto deadline = real_clock::now() + longest_wait;
    auto outcome = admission_outcome::refused;
    std::unique_lock lock{mutex_};
    // The state is not dropped while a request waits, and references to elements stay valid.
    auto& state = *find_state(customer);
    while (!stopping_ && outcome == admission_outcome::refused) {
        const auto left = std::chrono::duration_cast<kernel::duration>(deadline - real_clock::now());
        if (left <= kernel::duration::zero()) {
            break;
        }
        const auto wait = std::max<kernel::duration>(shortest_wait, state.limiter.time_to_token(clock_()));
        tokens_changed_.wait_for(lock, std::min(left, wait));
        lock.unlock();
        const auto fresh = is_fresh(clock_());
        lock.lock();
        if (!fresh) {
            break;
        }
        outcome = state.limiter.retry(clock_());
    }
    --state.waiting;
    --waiting_;
    lock.unlock();
    return outcome == admission_outcome::admitted ? admission{outcome, {}} : refuse(customer, clock_());
}

admission limit_service::refuse(const kernel::customer_name& customer, kernel::time_point now)
{
    const std::lock_guard lock{mutex_};
    auto* state = find_state(customer);
    if (state == nullptr) {
        return {admission_outcome::refused, default_retry_after};
    }
    ++state->refusals;
    state->last_refused = now;
    const auto wait = state->limiter.time_to_token(now);
    if (wait == kernel::duration::max()) {
        return {admission_outcome::refused, default_retry_after};
    }
    return {admission_outcome::refused, std::clamp<kernel::duration>(wait, shortest_retry_after, longest_retry_after)};
}

void limit_service::make_lending_states(const std::vector<limits::loan_request>& requests, kernel::time_point now)
{
    std::vector<kernel::customer_name> missing;
    {
        const std::lock_guard lock{mutex_};
        for (const auto& request : requests) {
            if (find_state(request.customer) == nullptr) {
                missing.push_back(request.customer);
            }
        }
    }
    if (missing.empty()) {
        return;
    }
    view_.read([&](const configuration::configuration_set& set) {
        const std::lock_guard lock{mutex_};
        observe(set);
        for (const auto& customer : missing) {
            const auto limit = find_limit(set, customer);
            if (!limit || find_state(customer) != nullptr) {
                continue;
            }
            const auto homes = versions_.homes(customer, *limit);
            if (std::find(homes.begin(), homes.end(), self_) != homes.end()) {
                make_state(customer, *limit, now);
            }
        }
    });
}

kernel::duration limit_service::plan()
{
    const auto now = clock_();
    const auto settled = view_.settled_version(now);
    // Tokens must not be refilled while the configuration is stale.
    if (!is_fresh(now)) {
        return planning_interval;
    }
    {
        const std::lock_guard lock{mutex_};
        settle(settled, now);
        drop_idle_customers(now);
        if (now < next_plan_) {
            return next_plan_ - now;
        }
        next_plan_ = now + shortest_planning_interval;
        collect_due_requests(now);
    }
    calls_due_.notify_all();
    return planning_interval;
}

void limit_service::settle(kernel::version_number settled, kernel::time_point now)
{
    const auto newest = versions_.newest();
    const auto delayed = delay_.update(settled.value() < newest.value() ? settled : newest, now);
    if (delayed.value() <= settled_.value()) {
        return;
    }
    settled_ = delayed;
    settled_since_ = now;
    for (auto& [customer, state] : customers_) {
        state.limiter.settle(settled_, now);
    }
    versions_.forget_before(settled_);
}

void limit_service::drop_idle_customers(kernel::time_point now)
{
    if (now < next_idle_check_) {
        return;
    }
    next_idle_check_ = now + idle_check_interval;
    for (auto item = customers_.begin(); item != customers_.end();) {
        auto& state = item->second;
        item = state.waiting == 0 && state.limiter.is_idle(idle_time, now) ? customers_.erase(item) : std::next(item);
    }
}

void limit_service::collect_due_requests(kernel::time_point now)
{
    due_.clear();
    for (const auto& [customer, state] : customers_) {
        for (const auto& lender : state.limiter.due_lenders(now)) {
            due_[lender].push_back(customer);
        }
    }
    std::erase_if(lenders_, [this](const auto& item) {
        return item.second.call == call_state::idle && versions_.hosts().find(item.first) == nullptr;
    });
}

std::optional<limit_service::lender_call> limit_service::take_call(kernel::time_point now)
{
    const auto found = std::find_if(due_.begin(), due_.end(), [this, now](const auto& item) {
        const auto lender = lenders_.find(item.first);
        return lender == lenders_.end() || (lender->second.call == call_state::idle && lender->second.retry_at <= now);
    });
    if (found == due_.end()) {
        return std::nullopt;
    }
    const auto [lender, customers] = std::move(*found);
    due_.erase(found);
    const auto* entry = versions_.hosts().find(lender);
    if (entry == nullptr) {
        return std::nullopt;
    }
    lender_call call{*entry, {}};
    for (const auto& customer : customers) {
        if (auto* state = find_state(customer)) {
            const auto wanted = state->limiter.start_request(lender, ++sequence_, now);
            call.requests.push_back({customer, versions_.newest(), sequence_, wanted});
        }
    }
    lenders_[lender].call = call_state::running;
    return call;
}

void limit_service::finish_call(const lender_call& call, const kernel::result<std::vector<limits::loan>>& answer,
                                kernel::time_point now)
{
    note_reachability(call, answer, now);
    if (answer) {
        for (const auto& loan : *answer) {
            if (auto* state = find_state(loan.customer)) {
                state->limiter.accept(call.lender.instance, loan, now);
            }
        }
    }
    for (const auto& request : call.requests) {
        if (auto* state = find_state(request.customer)) {
            state->limiter.record_failure(call.lender.instance, request.sequence);
        }
    }
}

void limit_service::note_reachability(const lender_call& call, const kernel::result<std::vector<limits::loan>>& answer,
                                      kernel::time_point now)
{
    auto& lender = lenders_[call.lender.instance];
    lender.call = call_state::idle;
    lender.retry_at = answer ? now : now + unreachable_lender_pause;
    const auto reach = answer ? reachability::reachable : reachability::unreachable;
    if (reach == lender.reach) {
        return;
    }
    lender.reach = reach;
    if (answer) {
        kernel::log_event(kernel::severity::information, limits::limits_event::lender_recovered,
                          {{"lender", call.lender.host.value()}});
        return;
    }
    kernel::log_event(kernel::severity::warning, limits::limits_event::lender_unreachable,
                      {{"lender", call.lender.host.value()}, {"failure", std::string{answer.error().name()}}});
}

void limit_service::run_calls()
{
    std::unique_lock lock{mutex_};
    while (!stopping_) {
        // Loans run from here, which is before the request is sent.
        const auto call = take_call(clock_());
        if (!call) {
            calls_due_.wait_for(lock, planning_interval);
            continue;
        }
        lock.unlock();
        auto answer = ask_(call->lender, call->requests);
        const auto fresh = is_fresh(clock_());
        lock.lock();
        if (!fresh && answer) {
            answer->clear();
        }
        finish_call(*call, answer, clock_());
        tokens_changed_.notify_all();
    }
}

} // namespace wisterialane::services
