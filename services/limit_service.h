#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "kernel/periodic_task.h"
#include "kernel/service.h"
#include "libraries/configuration/configuration_view.h"
#include "libraries/configuration/roster.h"
#include "libraries/limits/customer_limiter.h"
#include "libraries/limits/loan.h"
#include "libraries/limits/settling_delay.h"
#include "services/limit_versions.h"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

namespace wisterialane::services {

/// Whether a request may run now, and if not, when a repetition is likely to be admitted.
struct admission {
    limits::admission_outcome outcome = limits::admission_outcome::refused;
    kernel::duration retry_after{};
};

/// A customer of which requests were refused on this host, for the status page.
struct refused_customer {
    kernel::customer_name customer;
    kernel::time_point last_refused;
    /// Since the customer became active on this host.
    std::uint64_t refusals = 0;
};

/// Fleet-wide rates and bursts of customers on this host (docs/design.md, 8.2). Thread-safe.
///
/// The configuration view calls its listener, and runs what is passed to `read`, possibly under its own lock; both take
/// this service's lock. The view is therefore never called while this service's lock is held.
class limit_service : public kernel::service {
public:
    /// Asks a home host for loans. Called on this service's threads, without a lock; it may block until the deadline of
    /// a call between hosts. An answer may lack some of the loans.
    using loan_hook = std::function<kernel::result<std::vector<limits::loan>>(
        const configuration::roster_entry& lender, const std::vector<limits::loan_request>& requests)>;

    /// Registers a listener with the view, which must not call it after this object's end.
    limit_service(kernel::instance_id self, configuration::configuration_view& view, kernel::clock_source clock,
                  loan_hook ask);
    limit_service(const limit_service&) = delete;
    limit_service& operator=(const limit_service&) = delete;
    ~limit_service() override;

    [[nodiscard]] std::string_view name() const override { return "limits"; }

    kernel::result<void> start() override;
    void stop() override;

    /// Takes a token for a request. Without one, waits up to 50 ms for a loan or a refill. Refuses if the customer is
    /// not configured or this host's configuration is stale.
    [[nodiscard]] admission admit(const kernel::customer_name& customer, kernel::time_point now);

    /// Answers a borrower. Requests for customers of which this host is not a home, and requests with a sequence number
    /// that is not new, get no loan in the answer.
    [[nodiscard]] std::vector<limits::loan> handle_loan_requests(const kernel::instance_id& borrower,
                                                                 const std::vector<limits::loan_request>& requests,
                                                                 kernel::time_point now);

    /// The customer's homes, best first. Callers that use them find tokens without loans.
    [[nodiscard]] std::vector<configuration::roster_entry> home_addresses(const kernel::customer_name& customer);

    /// Customers that were refused in the last minute, in order of name.
    [[nodiscard]] std::vector<refused_customer> recently_refused(kernel::time_point now) const;

    /// Number of customers with state on this host.
    [[nodiscard]] std::size_t active_customers() const;

private:
    struct customer_state {
        limits::customer_limiter limiter;
        std::size_t waiting = 0;
        std::uint64_t refusals = 0;
        std::optional<kernel::time_point> last_refused;
    };

    enum class first_try { admitted, waits, refused };
    enum class call_state { idle, running };
    enum class reachability { reachable, unreachable };

    struct lender_state {
        call_state call = call_state::idle;
        reachability reach = reachability::reachable;
        kernel::time_point retry_at;
    };

    /// One call of the hook.
    struct lender_call {
        configuration::roster_entry lender;
        std::vector<limits::loan_request> requests;
    };

    [[nodiscard]] bool is_fresh(kernel::time_point now) const;
    [[nodiscard]] kernel::time_point not_before_now(kernel::time_point now) const;

    // The functions below are called under the lock.
    void observe(const configuration::configuration_set& set);
    customer_state* find_state(const kernel::customer_name& customer);
    customer_state& make_state(const kernel::customer_name& customer, const limits::capacity& limit,
                               kernel::time_point now);
    first_try try_first(customer_state& state, kernel::time_point now);
    void settle(kernel::version_number settled, kernel::time_point now);
    void drop_idle_customers(kernel::time_point now);
    void collect_due_requests(kernel::time_point now);
    std::optional<lender_call> take_call(kernel::time_point now);
    void finish_call(const lender_call& call, const kernel::result<std::vector<limits::loan>>& answer,
                     kernel::time_point now);
    void note_reachability(const lender_call& call, const kernel::result<std::vector<limits::loan>>& answer,
                           kernel::time_point now);

    // The functions below take the lock.
    first_try try_first(const kernel::customer_name& customer, kernel::time_point now);
    admission wait_for_token(const kernel::customer_name& customer);
    admission refuse(const kernel::customer_name& customer, kernel::time_point now);
    void make_lending_states(const std::vector<limits::loan_request>& requests, kernel::time_point now);
    kernel::duration plan();
    void run_calls();

    const kernel::instance_id self_;
    configuration::configuration_view& view_;
    const kernel::clock_source clock_;
    const loan_hook ask_;

    mutable std::mutex mutex_;
    limit_versions versions_;
    limits::settling_delay delay_;
    kernel::version_number settled_;
    /// Since when the settled version's shares are in force on this host.
    kernel::time_point settled_since_;
    std::unordered_map<kernel::customer_name, customer_state> customers_;
    std::size_t waiting_ = 0;
    std::uint64_t sequence_ = 0;
    /// Customers for which each lender is to be asked.
    std::unordered_map<kernel::instance_id, std::vector<kernel::customer_name>> due_;
    std::unordered_map<kernel::instance_id, lender_state> lenders_;
    kernel::time_point next_idle_check_;
    kernel::time_point next_plan_;
    bool stopping_ = false;
    std::condition_variable tokens_changed_;
    std::condition_variable calls_due_;
    std::vector<std::thread> callers_;
    /// Guards the pointer only, as `admit` may wake the task while `stop` ends it.
    mutable std::mutex planner_mutex_;
    std::optional<kernel::periodic_task> planner_;
};

} // namespace wisterialane::services
