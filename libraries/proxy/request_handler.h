#pragma once

#include "libraries/proxy/attempt_plan.h"
#include "libraries/proxy/message_headers.h"
#include "libraries/proxy/request_environment.h"
#include "libraries/proxy/upstream_exchange.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisterialane::proxy {

/// Takes one request of a caller from its arrival to its answer: route, key, rate, upstream, retries. Keeps itself
/// alive through the operations that it waits for.
class request_handler : public std::enable_shared_from_this<request_handler> {
public:
    request_handler(request_environment& use, std::shared_ptr<caller_session> session);
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;
    ~request_handler();

    void start();

    /// Answers now with what is known, because the process ends.
    void expire();

private:
    /// A request on its way to an upstream.
    struct attempt {
        kernel::upstream_name upstream;
        std::shared_ptr<upstream_exchange> exchange;
        kernel::time_point sent_at;
    };

    /// Why a request gets an answer of the host's own.
    struct refusal {
        unsigned status = 503;
        std::string_view reason;
        std::optional<kernel::duration> retry_after;
    };

    using check = tl::expected<void, refusal>;

    [[nodiscard]] check admit(kernel::time_point now);
    [[nodiscard]] check find_route(kernel::time_point now);
    [[nodiscard]] check authenticate(kernel::time_point now);
    [[nodiscard]] check choose_service(kernel::time_point now);
    [[nodiscard]] check check_quarantine(kernel::time_point now);
    void share(const attempt& ended, exchange_outcome outcome, const exchange_result& result, kernel::time_point now);
    void set_time_limits();
    void arm_deadline();

    void dispatch();
    void enqueue(kernel::time_point now);
    bool start_from_line();
    void leave_line();
    void send_to(tracked_upstream& chosen, kernel::time_point now);
    void arm_hedge(kernel::time_point now);
    void hedge();

    void on_exchange_end(const kernel::upstream_name& id, exchange_result result);
    [[nodiscard]] exchange_outcome judge(const exchange_result& result) const;
    void record(const attempt& ended, exchange_outcome outcome, const exchange_result& result, kernel::time_point now);
    [[nodiscard]] bool may_retry(kernel::time_point now);

    [[nodiscard]] unsigned failure_status() const { return plan_.may_have_run() ? 502 : 503; }

    void settle(exchange_outcome outcome, exchange_result result, kernel::time_point now);

    void on_deadline();
    void on_caller_disconnect();
    void cancel_attempts(exchange_outcome evidence);
    void deliver(upstream_response response);
    void refuse(const refusal& answer);
    void end(std::string_view outcome);

    [[nodiscard]] bool is_repeatable() const { return route_->semantics == configuration::route_semantics::idempotent; }

    /// Empty on open routes.
    [[nodiscard]] kernel::customer_name customer_name() const
    {
        return customer_ == nullptr ? kernel::customer_name{} : customer_->name;
    }

    [[nodiscard]] request_queue& line() { return use_.queues[service_]; }

    request_environment& use_;
    std::shared_ptr<caller_session> session_;
    /// Keeps the route and customer alive when a newer version comes into force.
    std::shared_ptr<const routing_table> table_;
    const traffic_route* route_ = nullptr;
    const traffic_customer* customer_ = nullptr;
    kernel::service_name service_;
    std::string request_id_;
    std::uint64_t fingerprint_ = 0;
    kernel::time_point arrived_;
    /// No answer is awaited after this moment.
    kernel::time_point give_up_at_;
    selection_request placement_;
    std::vector<attempt> attempts_;
    /// The upstream whose complete answer came last.
    kernel::upstream_name answered_by_;
    attempt_plan plan_{1, false};
    /// An answer of an upstream that is worth delivering if nothing better comes.
    std::optional<upstream_response> fallback_;
    std::optional<queue_ticket> ticket_;
    std::optional<kernel::time_point> queued_at_;
    timer deadline_;
    timer hedge_;
    bool ended_ = false;
};

} // namespace wisterialane::proxy
