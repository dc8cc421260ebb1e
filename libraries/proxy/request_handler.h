#pragma once

#include "libraries/proxy/attempt_plan.h"
#include "libraries/proxy/message_headers.h"
#include "libraries/proxy/one_shot_timer.h"
#include "libraries/proxy/request_admission.h"
#include "libraries/proxy/request_environment.h"
#include "libraries/proxy/upstream_exchange.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisterialane::proxy {

/// Handles one request of a caller: if it is admitted, sends it to an upstream with retries, and responds. Pending
/// operations keep the object alive.
class request_handler : public std::enable_shared_from_this<request_handler> {
public:
    request_handler(request_environment& environment, std::shared_ptr<caller_exchange> exchange);
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;
    ~request_handler();

    void start();

    /// Ends the request as at its deadline, because the process stops.
    void expire();

    /// Adds the attempts in flight to the counts of their upstreams' data centres.
    void count_in_flight(std::map<kernel::data_centre_name, std::size_t>& counts) const;

private:
    /// One sending of the request to one upstream.
    struct attempt {
        kernel::upstream_name upstream;
        std::shared_ptr<upstream_exchange> exchange;
        kernel::time_point sent_at;
        /// Unix time of the upstream's start in milliseconds.
        std::int64_t upstream_started_at_ms = 0;
        /// Trust in the upstream when the request was sent.
        trust trust_at_start = trust::trusted;
        kernel::data_centre_name data_centre;
    };

    void record_response(const attempt& ended, const upstream_response& response, kernel::time_point now);
    void share_evidence(const attempt& ended, exchange_outcome outcome, const exchange_result& result, bool unexpected,
                        kernel::time_point now);
    void start_deadline_timer();

    void dispatch();
    void end_without_upstream(kernel::time_point now);
    void enqueue(kernel::time_point now);
    void end_overloaded(kernel::duration wait);
    bool dispatch_from_queue();
    void leave_queue();
    void send_to(tracked_upstream& chosen, kernel::time_point now);
    void schedule_hedge(kernel::time_point now);
    void send_hedge();

    void on_exchange_end(const kernel::upstream_name& id, exchange_result result);
    [[nodiscard]] exchange_outcome classify(const exchange_result& result) const;
    void record_result(const attempt& ended, exchange_outcome outcome, const exchange_result& result,
                       kernel::time_point now);
    [[nodiscard]] bool may_retry(kernel::time_point now);
    [[nodiscard]] bool takes_from_budget(retry_purpose purpose, kernel::time_point now);
    [[nodiscard]] kernel::duration retry_after(kernel::duration expected_wait, kernel::time_point now);

    [[nodiscard]] unsigned failure_status() const { return plan_.may_have_run() ? 502 : 503; }

    void respond_or_retry(exchange_outcome outcome, exchange_result result, kernel::time_point now);

    void on_deadline();
    void on_disconnect(connection_end reason);
    void cancel_attempts(exchange_outcome evidence);
    void deliver(upstream_response from_upstream);
    void end_unserved(const refusal& cause);
    void refuse(const refusal& cause);
    void finish(std::string_view outcome);

    [[nodiscard]] bool is_repeatable() const
    {
        return context_.route->semantics == configuration::route_semantics::idempotent;
    }

    [[nodiscard]] request_queue& queue() { return environment_.queues[context_.service]; }

    request_environment& environment_;
    std::shared_ptr<caller_exchange> exchange_;
    request_context context_;
    selection_request selection_;
    std::vector<attempt> attempts_;
    /// The upstream that sent the last complete response.
    kernel::upstream_name responding_upstream_;
    attempt_plan plan_{1, false};
    /// An error response of an upstream, delivered if no later attempt succeeds.
    std::optional<upstream_response> fallback_response_;
    std::optional<queue_ticket> ticket_;
    std::optional<kernel::time_point> queued_at_;
    one_shot_timer deadline_timer_;
    one_shot_timer hedge_timer_;
    one_shot_timer queue_timer_;
    /// It was admitted and counts as demand.
    bool arrived_ = false;
    bool ended_ = false;
};

} // namespace wisterialane::proxy
