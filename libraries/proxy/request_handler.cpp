#include "libraries/proxy/request_handler.h"

#include "libraries/proxy/proxy_events.h"

#include <algorithm>

namespace wisterialane::proxy {
namespace {

using kernel::line_priority;
using milliseconds = std::chrono::milliseconds;

constexpr milliseconds connect_timeout{400};
/// A second attempt starts when the first takes this many times the usual latency of the service.
constexpr int hedge_factor = 3;
constexpr milliseconds minimum_hedge_delay{100};
constexpr double latency_smoothing = 0.2;
/// Other upstreams are preferred for this time after an upstream has shed a request.
constexpr milliseconds shed_avoidance_time{150};
constexpr unsigned first_error_status = 500;
constexpr unsigned misdirected_status = 421;
constexpr unsigned server_timeout_status = 504;
constexpr unsigned unavailable_status = 503;

constexpr std::string_view served = "served";
constexpr std::string_view caller_disconnected = "caller_left";
constexpr std::string_view cut = "cut";

bool is_unexecuted_refusal(const upstream_response& response, const wire_names& names)
{
    return response.status == misdirected_status || response.headers.count(names.not_executed) > 0;
}

bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

request_handler::request_handler(request_environment& environment, std::shared_ptr<caller_exchange> exchange)
    : environment_{environment}, exchange_{std::move(exchange)}, deadline_timer_{environment.context.get_executor()},
      hedge_timer_{environment.context.get_executor()}, queue_timer_{environment.context.get_executor()}
{
    context_.received_at = exchange_->received_at();
    environment_.active_requests.insert(this);
}

request_handler::~request_handler()
{
    environment_.active_requests.erase(this);
}

void request_handler::start()
{
    const auto now = environment_.clock();
    context_.request_id = to_view(exchange_->request()[environment_.names.request_id]);
    request_admission admission{environment_, exchange_->request(), context_};
    if (const auto admitted = admission.admit(now); !admitted) {
        refuse(admitted.error());
        return;
    }
    selection_.service = context_.service;
    selection_.repeatable = is_repeatable();
    selection_.body_bytes = exchange_->request().body().size();
    plan_ = attempt_plan{context_.route->maximum_attempts, is_repeatable()};
    exchange_->on_disconnect([weak = weak_from_this()](connection_end reason) {
        if (const auto self = weak.lock()) {
            self->on_disconnect(reason);
        }
    });
    start_deadline_timer();
    arrived_ = true;
    environment_.admission.record_arrival(context_.profile(), now);
    dispatch();
}

void request_handler::start_deadline_timer()
{
    deadline_timer_.start(context_.response_deadline - environment_.clock(),
                          [self = shared_from_this()] { self->on_deadline(); });
}

void request_handler::dispatch()
{
    const auto now = environment_.clock();
    const auto chosen = environment_.balancer.choose(selection_, now);
    if (chosen) {
        send_to(**chosen, now);
        return;
    }
    if (!attempts_.empty()) {
        return;
    }
    if (plan_.retry_uses_budget()) {
        environment_.admission.give_back_retry(context_.service);
    }
    if (chosen.error() == selection_error::none_available) {
        end_without_upstream(now);
        return;
    }
    enqueue(now);
}

void request_handler::end_without_upstream(kernel::time_point now)
{
    const auto wait = environment_.balancer.time_until_open(context_.service, now);
    const bool evacuated = environment_.balancer.is_evacuated(context_.service);
    end_unserved({failure_status(), evacuated ? "evacuated" : "no_upstream", retry_after(wait, now)});
}

// Queues the request, or refuses it at once if no response in time can be expected.
void request_handler::enqueue(kernel::time_point now)
{
    const auto priority = environment_.admission.queue_priority(context_.profile(), now);
    auto state = environment_.admission.queue_state_of(context_.service, now);
    state.ahead = queue().count_ahead_of(priority.customer, priority.route, now);
    if (!should_wait(state, context_.response_deadline - now)) {
        end_overloaded(expected_wait(state));
        return;
    }
    queued_at_ = now;
    ticket_ = queue().push({priority.customer, priority.route, context_.customer_name(),
                            [self = shared_from_this()] { return self->dispatch_from_queue(); },
                            context_.received_at + context_.route->target_latency - state.usual_latency,
                            context_.response_deadline,
                            [self = shared_from_this()](auto wait) { self->end_overloaded(wait); }});
    const auto last_dispatch = context_.response_deadline - minimum_dispatch_time(state.usual_latency);
    queue_timer_.start(last_dispatch - now, [self = shared_from_this()] {
        if (self->ticket_) {
            self->end_overloaded({});
        }
    });
}

void request_handler::end_overloaded(kernel::duration wait)
{
    end_unserved({failure_status(), "overloaded", retry_after(wait, environment_.clock())});
}

// Time until the caller should return if the request is refused because of the load.
kernel::duration request_handler::retry_after(kernel::duration expected_wait, kernel::time_point now)
{
    return environment_.admission.retry_after_overload(context_.profile(), expected_wait, now);
}

// Returns whether the request has left the queue.
bool request_handler::dispatch_from_queue()
{
    if (ended_) {
        return true;
    }
    const auto now = environment_.clock();
    const auto chosen = environment_.balancer.choose(selection_, now);
    if (!chosen && chosen.error() == selection_error::all_at_limit) {
        return false;
    }
    ticket_.reset();
    queue_timer_.cancel();
    environment_.metrics.record_queue_time(now - *queued_at_);
    if (chosen && plan_.retry_uses_budget() && !takes_from_budget(retry_purpose::retry, now)) {
        end_overloaded({});
        return true;
    }
    if (chosen) {
        send_to(**chosen, now);
        return true;
    }
    end_without_upstream(now);
    return true;
}

void request_handler::leave_queue()
{
    if (ticket_) {
        queue().erase(*ticket_);
        ticket_.reset();
    }
}

void request_handler::send_to(tracked_upstream& chosen, kernel::time_point now)
{
    const auto address = parse_endpoint(chosen.record.address);
    selection_.excluded.insert(chosen.record.id);
    if (!address) {
        dispatch();
        return;
    }
    const auto remaining = std::chrono::duration_cast<milliseconds>(context_.response_deadline - now);
    exchange_request request;
    request.upstream = chosen.record.id;
    request.address = *address;
    request.request_id = context_.request_id;
    request.method = exchange_->request().method();
    request.time_left = remaining;
    request.connect_timeout = std::min(connect_timeout, std::max(milliseconds{1}, remaining));
    request.body = exchange_->request().body();
    request.head = head_for_upstream(exchange_->request(), environment_.names,
                                     {chosen.record.id, remaining, context_.customer_name()});
    request.may_send = [&upstreams = environment_.upstreams, id = chosen.record.id,
                        started_at_ms = chosen.record.started_at_ms] {
        return upstreams.takes_work(id, started_at_ms);
    };
    attempt next{chosen.record.id,
                 std::make_shared<upstream_exchange>(environment_.context, environment_.connections, environment_.names,
                                                     *environment_.memory, environment_.clock),
                 now,
                 chosen.record.started_at_ms,
                 chosen.health.state(now),
                 chosen.record.data_centre};
    chosen.in_flight.insert(now);
    chosen.last_request_at = now;
    if (plan_.attempts() == 0) {
        environment_.admission.record_first_send(context_.profile(), now);
    }
    plan_.record_start();
    attempts_.push_back(next);
    schedule_hedge(now);
    next.exchange->start(std::move(request), [self = shared_from_this(), id = next.upstream](exchange_result result) {
        self->on_exchange_end(id, std::move(result));
    });
}

// Schedules a second attempt, at another upstream and within the retry budget, of a repeatable request that takes much
// longer than usual.
void request_handler::schedule_hedge(kernel::time_point now)
{
    if (!plan_.may_hedge()) {
        return;
    }
    const auto usual = environment_.balancer.service_latency(context_.service);
    const auto delay = std::max<kernel::duration>(minimum_hedge_delay, hedge_factor * usual);
    if (now + delay + usual > context_.response_deadline) {
        return;
    }
    hedge_timer_.start(delay, [self = shared_from_this()] { self->send_hedge(); });
}

void request_handler::send_hedge()
{
    const auto now = environment_.clock();
    if (!plan_.may_hedge() || ticket_) {
        return;
    }
    const auto chosen = environment_.balancer.choose(selection_, now);
    if (chosen && takes_from_budget(retry_purpose::hedge, now)) {
        send_to(**chosen, now);
    }
}

void request_handler::on_exchange_end(const kernel::upstream_name& id, exchange_result result)
{
    const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                    [&id](const auto& candidate) { return candidate.upstream == id; });
    if (ended_ || found == attempts_.end()) {
        return;
    }
    const auto now = environment_.clock();
    const auto ended = *found;
    attempts_.erase(found);
    const auto outcome = classify(result);
    if (result.end == exchange_end::response_received) {
        responding_upstream_ = id;
    }
    record_result(ended, outcome, result, now);
    const bool not_executed =
        result.end == exchange_end::response_received && is_unexecuted_refusal(result.response, environment_.names);
    plan_.record_end(result.end, not_executed);
    respond_or_retry(outcome, std::move(result), now);
    environment_.serve_queue(context_.service, now);
}

exchange_outcome request_handler::classify(const exchange_result& result) const
{
    switch (result.end) {
    case exchange_end::not_connected:
        return exchange_outcome::connect_failed;
    case exchange_end::withdrawn:
        return exchange_outcome::neutral;
    case exchange_end::closed:
    case exchange_end::invalid_response:
        return exchange_outcome::broken;
    case exchange_end::response_received:
        break;
    }
    const auto& response = result.response;
    if (response.status == misdirected_status) {
        return exchange_outcome::neutral;
    }
    if (is_unexecuted_refusal(response, environment_.names)) {
        return exchange_outcome::shed;
    }
    if (is_success(response.status) && response.headers.count(environment_.names.signature) == 0) {
        return exchange_outcome::broken;
    }
    return response.status >= first_error_status ? exchange_outcome::error : exchange_outcome::good;
}

void request_handler::record_result(const attempt& ended, exchange_outcome outcome, const exchange_result& result,
                                    kernel::time_point now)
{
    environment_.metrics.record_attempt(to_name(outcome));
    bool unexpected = ended.trust_at_start != trust::trusted;
    if (auto* target = environment_.upstreams.find(ended.upstream)) {
        if (const auto sent = target->in_flight.find(ended.sent_at); sent != target->in_flight.end()) {
            target->in_flight.erase(sent);
        }
        const auto elapsed = now - ended.sent_at;
        if (result.end == exchange_end::response_received) {
            target->last_response_at = now;
        }
        environment_.upstreams.record_connection(ended.upstream, outcome != exchange_outcome::connect_failed,
                                                 environment_.balancer.cold_limit().cold_start(context_.service), now);
        if (outcome == exchange_outcome::good) {
            const auto known = target->latency > kernel::duration::zero() ? target->latency : elapsed;
            target->latency = std::chrono::duration_cast<kernel::duration>((1 - latency_smoothing) * known +
                                                                           latency_smoothing * elapsed);
            environment_.admission.record_accepted(context_.service, elapsed, now);
        }
        if (outcome == exchange_outcome::shed &&
            environment_.admission.record_shed(context_.service, {target->in_flight.size(), target->record.slots},
                                               now)) {
            target->busy_until = now + shed_avoidance_time;
        }
        const bool was_trusted = target->health.state(now) == trust::trusted;
        unexpected = unexpected || target->health.is_disputed(now);
        target->health.record(outcome, now);
        const auto state = target->health.state(now);
        if (was_trusted != (state == trust::trusted)) {
            const auto event = was_trusted ? proxy_event::upstream_suspected : proxy_event::upstream_trusted;
            environment_.log.write(now, line_priority::important, event,
                                   {{"upstream", ended.upstream.value()},
                                    {"service", context_.service.value()},
                                    {"outcome", std::string{to_name(outcome)}},
                                    {"request", context_.request_id}});
        }
    }
    if (result.end == exchange_end::response_received) {
        record_response(ended, result.response, now);
    }
    if (outcome == exchange_outcome::good) {
        environment_.quarantine.record_success(context_.fingerprint, now);
        share_evidence(ended, outcome, result, unexpected, now);
        return;
    }
    environment_.log.write(now, line_priority::important, proxy_event::attempt_failed,
                           {{"request", context_.request_id},
                            {"route", context_.route->name.value()},
                            {"upstream", ended.upstream.value()},
                            {"trust", std::string{to_name(ended.trust_at_start)}},
                            {"outcome", std::string{to_name(outcome)}},
                            {"end", std::string{to_name(result.end)}},
                            {"status", std::to_string(result.response.status)},
                            {"reused", result.reused ? "yes" : "no"},
                            {"elapsed_ms", kernel::to_milliseconds_text(now - ended.sent_at)}});
    share_evidence(ended, outcome, result, unexpected, now);
}

// Records what a complete response says of its upstream.
void request_handler::record_response(const attempt& ended, const upstream_response& response, kernel::time_point now)
{
    if (response.status == misdirected_status) {
        environment_.connections.close_all(ended.upstream);
        environment_.upstreams.mark_draining(ended.upstream, leaving_source::misdirected);
        return;
    }
    if (const auto wait = read_retry_after(response.headers); wait && response.status == unavailable_status) {
        environment_.upstreams.close_until(ended.upstream, ended.upstream_started_at_ms, now + *wait);
    }
    const auto notice = read_notice(response.headers, environment_.names, ended.upstream_started_at_ms);
    if (environment_.upstreams.record_notice(ended.upstream, notice, ended.sent_at, now) &&
        environment_.share_evidence) {
        environment_.share_evidence({ended.upstream, exchange_outcome::neutral, 0, notice}, false);
    }
}

void request_handler::share_evidence(const attempt& ended, exchange_outcome outcome, const exchange_result& result,
                                     bool unexpected, kernel::time_point now)
{
    const bool crashed = outcome == exchange_outcome::broken && result.end == exchange_end::closed;
    if (crashed) {
        environment_.quarantine.record({context_.fingerprint, ended.upstream}, now);
    }
    if (environment_.share_evidence) {
        environment_.share_evidence({ended.upstream, outcome, crashed ? context_.fingerprint : 0, std::nullopt},
                                    unexpected);
    }
}

bool request_handler::may_retry(kernel::time_point now)
{
    if (now >= context_.response_deadline || !plan_.may_retry()) {
        return false;
    }
    return !plan_.retry_uses_budget() || takes_from_budget(retry_purpose::retry, now);
}

bool request_handler::takes_from_budget(retry_purpose purpose, kernel::time_point now)
{
    const auto decision = environment_.admission.decide_retry(context_.profile(), purpose, now);
    environment_.metrics.record_retry(to_name(decision));
    return decision == retry_decision::send;
}

void request_handler::respond_or_retry(exchange_outcome outcome, exchange_result result, kernel::time_point now)
{
    if (outcome == exchange_outcome::good) {
        deliver(std::move(result.response));
        return;
    }
    if (outcome == exchange_outcome::error) {
        fallback_response_ = std::move(result.response);
        if (!is_repeatable() || fallback_response_->status == server_timeout_status) {
            deliver(std::move(*fallback_response_));
            return;
        }
    }
    if (may_retry(now)) {
        dispatch();
        return;
    }
    if (!attempts_.empty()) {
        return;
    }
    if (plan_.may_have_run()) {
        end_unserved({502, "upstream_failed", std::nullopt});
        return;
    }
    if (outcome == exchange_outcome::shed) {
        end_unserved({503, "upstreams_full", environment_.admission.retry_after_shed(context_.profile(), now)});
        return;
    }
    end_unserved({503, "unreachable", retry_after({}, now)});
}

void request_handler::on_deadline()
{
    const bool waiting = ticket_.has_value();
    cancel_attempts(exchange_outcome::timed_out);
    if (plan_.may_have_run()) {
        end_unserved({504, "deadline", std::nullopt});
        return;
    }
    end_unserved({503, waiting ? "overloaded" : "unreachable", retry_after({}, environment_.clock())});
}

// Ends a request that no upstream has served: with the error response of an upstream, if there is one.
void request_handler::end_unserved(const refusal& cause)
{
    if (fallback_response_) {
        deliver(std::move(*fallback_response_));
        return;
    }
    refuse(cause);
}

void request_handler::expire()
{
    if (!ended_) {
        on_deadline();
    }
}

void request_handler::count_in_flight(std::map<kernel::data_centre_name, std::size_t>& counts) const
{
    for (const auto& open_attempt : attempts_) {
        ++counts[open_attempt.data_centre];
    }
}

void request_handler::on_disconnect(connection_end reason)
{
    if (ended_) {
        return;
    }
    const auto now = environment_.clock();
    const bool caller_left = reason == connection_end::caller_closed;
    environment_.log.write(now, caller_left ? line_priority::routine : line_priority::important,
                           caller_left ? proxy_event::caller_left : proxy_event::request_cut,
                           {{"request", context_.request_id},
                            {"reason", std::string{to_name(reason)}},
                            {"sends", std::to_string(plan_.attempts())},
                            {"elapsed_ms", kernel::to_milliseconds_text(now - context_.received_at)}});
    cancel_attempts(exchange_outcome::neutral);
    finish(caller_left ? caller_disconnected : cut);
    environment_.serve_queue(context_.service, now);
}

// An attempt that has taken no longer than usual is no evidence on its upstream. Neither is one whose upstream has sent
// other responses meanwhile: the request waits in the upstream's queue.
void request_handler::cancel_attempts(exchange_outcome evidence)
{
    if (attempts_.empty()) {
        return;
    }
    const auto now = environment_.clock();
    const auto usual =
        context_.route == nullptr ? kernel::duration{} : environment_.balancer.service_latency(context_.service);
    auto cancelled = std::move(attempts_);
    attempts_.clear();
    for (const auto& open_attempt : cancelled) {
        plan_.record_cancel(open_attempt.exchange->sent());
        open_attempt.exchange->cancel();
        const bool slow = now - open_attempt.sent_at > hedge_factor * usual;
        const auto* known = environment_.upstreams.find(open_attempt.upstream);
        const bool responsive = known != nullptr && known->last_response_at > open_attempt.sent_at;
        record_result(open_attempt, slow && !responsive ? evidence : exchange_outcome::neutral,
                      {exchange_end::closed, {}, false}, now);
    }
}

void request_handler::deliver(upstream_response from_upstream)
{
    cancel_attempts(exchange_outcome::neutral);
    const auto now = environment_.clock();
    if (!is_success(from_upstream.status)) {
        environment_.log.write(now, line_priority::important, proxy_event::request_failed,
                               {{"request", context_.request_id},
                                {"route", context_.route->name.value()},
                                {"version", std::to_string(context_.table->version().value())},
                                {"status", std::to_string(from_upstream.status)},
                                {"reason", "answer_of_upstream"},
                                {"upstream", responding_upstream_.value()},
                                {"sends", std::to_string(plan_.attempts())},
                                {"elapsed_ms", kernel::to_milliseconds_text(now - context_.received_at)}});
    }
    else {
        environment_.log.write(now, line_priority::routine, proxy_event::request_served,
                               {{"request", context_.request_id},
                                {"route", context_.route->name.value()},
                                {"version", std::to_string(context_.table->version().value())},
                                {"upstream", responding_upstream_.value()},
                                {"sends", std::to_string(plan_.attempts())},
                                {"elapsed_ms", kernel::to_milliseconds_text(now - context_.received_at)}});
    }
    caller_response response;
    response.status = from_upstream.status;
    response.headers = headers_for_caller(from_upstream.headers);
    response.body = std::move(from_upstream.body);
    response.memory = std::move(from_upstream.memory);
    const auto exchange = exchange_;
    finish(is_success(from_upstream.status) ? served : "upstream_error");
    exchange->respond(std::move(response));
}

void request_handler::refuse(const refusal& cause)
{
    const auto now = environment_.clock();
    const auto age = environment_.freshness.age(now);
    environment_.log.write(now, line_priority::important,
                           plan_.may_have_run() ? proxy_event::request_failed : proxy_event::request_refused,
                           {{"request", context_.request_id},
                            {"route", context_.route == nullptr ? "" : context_.route->name.value()},
                            {"customer", context_.customer_name().value()},
                            {"status", std::to_string(cause.status)},
                            {"reason", std::string{cause.reason}},
                            {"version", context_.table ? std::to_string(context_.table->version().value()) : "0"},
                            {"age_ms", age ? kernel::to_milliseconds_text(*age) : "unknown"},
                            {"sends", std::to_string(plan_.attempts())},
                            {"elapsed_ms", kernel::to_milliseconds_text(now - context_.received_at)}});
    caller_response response;
    response.status = cause.status;
    if (!context_.request_id.empty()) {
        response.headers.emplace_back(environment_.names.request_id, context_.request_id);
    }
    if (cause.retry_after && (cause.status == 503 || cause.status == 429)) {
        response.headers.emplace_back("Retry-After", retry_after_text(*cause.retry_after));
    }
    const auto exchange = exchange_;
    finish(cause.reason);
    exchange->respond(std::move(response));
}

void request_handler::finish(std::string_view outcome)
{
    ended_ = true;
    leave_queue();
    deadline_timer_.cancel();
    hedge_timer_.cancel();
    queue_timer_.cancel();
    const auto now = environment_.clock();
    if (!context_.service.value().empty()) {
        const bool disconnected = outcome == caller_disconnected || outcome == cut;
        const auto unserved = disconnected ? request_result::disconnected : request_result::unserved;
        environment_.results.record(context_.service, outcome == served ? request_result::served : unserved, now);
        if (arrived_ && outcome != served && !disconnected) {
            environment_.results.record_unserved(context_.service, context_.profile().priority, now);
        }
    }
    environment_.metrics.record_request(context_.customer_name(), outcome, now - context_.received_at);
}

} // namespace wisterialane::proxy
