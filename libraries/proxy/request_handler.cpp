#include "libraries/proxy/request_handler.h"

#include "libraries/proxy/proxy_events.h"

#include <algorithm>

namespace wisterialane::proxy {
namespace {

using kernel::line_priority;
using milliseconds = std::chrono::milliseconds;

/// Time that an answer takes from here to the caller, with some reserve.
constexpr milliseconds answer_reserve{25};
/// A caller that is refused for lack of a configuration or of authority may come again after this time.
constexpr milliseconds retry_when_fresh{1000};
constexpr milliseconds retry_when_free{300};
/// Part of the key's withdrawal bound that is left for the way of a request to its upstream.
constexpr milliseconds withdrawal_reserve{500};
constexpr milliseconds connect_timeout{400};
/// A second attempt starts when the first takes this many times the usual time of the service.
constexpr int hedge_factor = 3;
constexpr milliseconds minimum_hedge_delay{100};
constexpr double latency_smoothing = 0.2;
constexpr milliseconds busy_time{150};
constexpr unsigned first_error_status = 500;
constexpr unsigned misdirected_status = 421;
constexpr unsigned server_timeout_status = 504;

constexpr std::string_view served = "served";
constexpr std::string_view caller_left = "caller_left";

std::string retry_after_text(kernel::duration wait)
{
    const auto rounded = std::chrono::ceil<milliseconds>(wait).count();
    auto text = std::to_string(rounded / 1000) + ".";
    const auto fraction = std::to_string(rounded % 1000);
    return text + std::string(3 - fraction.size(), '0') + fraction;
}

std::string to_text(kernel::duration time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

bool is_refusal_without_run(const upstream_response& answer, const wire_names& names)
{
    return answer.status == misdirected_status || answer.headers.count(names.not_executed) > 0;
}

bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

request_handler::request_handler(request_environment& use, std::shared_ptr<caller_session> session)
    : use_{use}, session_{std::move(session)}, arrived_{session_->received_at()}, deadline_{use.context.get_executor()},
      hedge_{use.context.get_executor()}
{
    use_.active_requests.insert(this);
}

request_handler::~request_handler()
{
    use_.active_requests.erase(this);
}

void request_handler::start()
{
    const auto now = use_.clock();
    request_id_ = to_view(session_->request()[use_.names.request_id]);
    if (const auto admitted = admit(now); !admitted) {
        refuse(admitted.error());
        return;
    }
    session_->on_disconnect([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_caller_disconnect();
        }
    });
    arm_deadline();
    use_.retry_budget.record_request(service_, now);
    dispatch();
}

request_handler::check request_handler::admit(kernel::time_point now)
{
    if (const auto found = find_route(now); !found) {
        return found;
    }
    if (const auto known = authenticate(now); !known) {
        return known;
    }
    set_time_limits();
    if (now >= give_up_at_) {
        return tl::unexpected{refusal{503, "no_time_left", std::nullopt}};
    }
    if (const auto harmless = check_quarantine(now); !harmless) {
        return harmless;
    }
    return choose_service(now);
}

// A request that crashed several upstreams would take down the next one as well.
request_handler::check request_handler::check_quarantine(kernel::time_point now)
{
    fingerprint_ = fingerprint_of(session_->request(), customer_name());
    if (!use_.quarantine.is_quarantined(fingerprint_, now)) {
        return {};
    }
    use_.log.write(now, line_priority::important, proxy_event::request_blamed, {{"request", request_id_}});
    return tl::unexpected{refusal{503, "quarantined", std::nullopt}};
}

request_handler::check request_handler::find_route(kernel::time_point now)
{
    const auto& request = session_->request();
    table_ = use_.routing;
    if (!table_) {
        return tl::unexpected{refusal{503, "no_configuration", retry_when_fresh}};
    }
    const auto target = to_view(request.target());
    if (request_id_.empty() || target.empty() || target.front() != '/' ||
        request.count(boost::beast::http::field::host) != 1) {
        return tl::unexpected{refusal{400, "malformed", std::nullopt}};
    }
    const auto host = normalize_host_name(to_view(request[boost::beast::http::field::host]));
    route_ = table_->find_route(host, path_of(target));
    if (route_ != nullptr) {
        return {};
    }
    const auto age = use_.freshness.age(now);
    if (!age || *age > use_.age_limits.definitive_refusal) {
        return tl::unexpected{refusal{503, "configuration_stale", retry_when_fresh}};
    }
    return tl::unexpected{refusal{404, "no_route", std::nullopt}};
}

request_handler::check request_handler::authenticate(kernel::time_point now)
{
    if (route_->access == configuration::route_access::open || !table_->has_customers()) {
        return {};
    }
    const auto age = use_.freshness.age(now);
    if (!age || *age + (now - arrived_) > use_.age_limits.key_revocation - withdrawal_reserve) {
        return tl::unexpected{refusal{503, "configuration_stale", retry_when_fresh}};
    }
    const auto& request = session_->request();
    if (request.count(use_.names.key) == 1) {
        customer_ = table_->find_customer(to_view(request[use_.names.key]));
    }
    if (customer_ != nullptr) {
        return {};
    }
    if (*age > use_.age_limits.definitive_refusal) {
        return tl::unexpected{refusal{503, "configuration_stale", retry_when_fresh}};
    }
    return tl::unexpected{refusal{401, "unknown_key", std::nullopt}};
}

// The service comes first: the host that stops knows by it whether the request would end in time.
request_handler::check request_handler::choose_service(kernel::time_point now)
{
    service_ = use_.service_selector.next(*route_);
    if (use_.stop.stopping() && !use_.stop.accepts_request(now, use_.balancer.service_latency(service_))) {
        return tl::unexpected{refusal{503, "stopping", retry_when_free}};
    }
    if (customer_ != nullptr) {
        if (const auto wait = use_.quota.admit(customer_->name, now)) {
            return tl::unexpected{refusal{429, "rate", *wait}};
        }
        if (use_.report_admissions) {
            use_.report_admissions();
        }
    }
    placement_.service = service_;
    placement_.repeatable = is_repeatable();
    plan_ = attempt_plan{route_->maximum_attempts, is_repeatable()};
    return {};
}

void request_handler::set_time_limits()
{
    const auto waits = read_deadline(session_->request(), use_.names).value_or(route_->timeout);
    give_up_at_ = arrived_ + std::min(waits, route_->timeout) - answer_reserve;
}

void request_handler::arm_deadline()
{
    deadline_.expires_after(give_up_at_ - use_.clock());
    deadline_.async_wait([self = shared_from_this()](error_code cancelled) {
        if (!cancelled && !self->ended_) {
            self->on_deadline();
        }
    });
}

void request_handler::dispatch()
{
    const auto now = use_.clock();
    const auto chosen = use_.balancer.choose(placement_, now);
    if (chosen) {
        send_to(**chosen, now);
        return;
    }
    if (!attempts_.empty()) {
        return;
    }
    if (chosen.error() == selection_error::none_available) {
        if (fallback_) {
            deliver(std::move(*fallback_));
            return;
        }
        refuse({failure_status(), "no_upstream", retry_when_free});
        return;
    }
    enqueue(now);
}

// An answer after the deadline helps nobody, so a request that cannot be served before it is refused at once.
void request_handler::enqueue(kernel::time_point now)
{
    const auto typical = use_.balancer.service_latency(service_);
    const int customer_priority = customer_ == nullptr ? 0 : customer_->priority;
    const auto before = line().count_ahead_of(customer_priority, route_->priority);
    std::size_t working = 0;
    for (const auto* item : use_.upstreams.of_service(service_)) {
        working += item->in_flight.size();
    }
    const auto wait =
        typical * static_cast<std::int64_t>(before + 1) / static_cast<std::int64_t>(std::max<std::size_t>(1, working));
    if (now + wait > give_up_at_ - typical) {
        refuse({failure_status(), "overloaded", std::max<kernel::duration>(wait, retry_when_free)});
        return;
    }
    queued_at_ = now;
    ticket_ = line().push({customer_priority, route_->priority, customer_name(),
                           [self = shared_from_this()] { return self->start_from_line(); }});
}

// Returns whether the request has left the line.
bool request_handler::start_from_line()
{
    if (ended_) {
        return true;
    }
    const auto now = use_.clock();
    const auto chosen = use_.balancer.choose(placement_, now);
    if (!chosen && chosen.error() == selection_error::all_at_limit) {
        return false;
    }
    ticket_.reset();
    use_.metrics.record_queue_time(now - *queued_at_);
    if (chosen) {
        send_to(**chosen, now);
        return true;
    }
    refuse({failure_status(), "no_upstream", retry_when_free});
    return true;
}

void request_handler::leave_line()
{
    if (ticket_) {
        line().erase(*ticket_);
        ticket_.reset();
    }
}

void request_handler::send_to(tracked_upstream& chosen, kernel::time_point now)
{
    const auto address = parse_endpoint(chosen.record.address);
    placement_.excluded.insert(chosen.record.id);
    if (!address) {
        dispatch();
        return;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(give_up_at_ - now);
    exchange_request request;
    request.upstream = chosen.record.id;
    request.address = *address;
    request.request_id = request_id_;
    request.method = session_->request().method();
    request.connect_timeout = std::min(connect_timeout, std::max(milliseconds{1}, left));
    request.body = session_->request().body();
    request.head = head_for_upstream(session_->request(), use_.names, {chosen.record.id, left, customer_name()});
    attempt next{chosen.record.id,
                 std::make_shared<upstream_exchange>(use_.context, use_.connections, use_.names, use_.clock), now};
    chosen.in_flight.insert(now);
    chosen.sent_at = now;
    plan_.record_start();
    attempts_.push_back(next);
    arm_hedge(now);
    next.exchange->start(std::move(request), [self = shared_from_this(), id = next.upstream](exchange_result result) {
        self->on_exchange_end(id, std::move(result));
    });
}

// A repeatable request that takes much longer than usual is tried at a second upstream, within the retry budget.
void request_handler::arm_hedge(kernel::time_point now)
{
    if (!plan_.may_hedge()) {
        return;
    }
    const auto usual = use_.balancer.service_latency(service_);
    const auto delay = std::max<kernel::duration>(minimum_hedge_delay, hedge_factor * usual);
    if (now + delay + usual > give_up_at_) {
        return;
    }
    hedge_.expires_after(delay);
    hedge_.async_wait([self = shared_from_this()](error_code cancelled) {
        if (!cancelled && !self->ended_) {
            self->hedge();
        }
    });
}

void request_handler::hedge()
{
    const auto now = use_.clock();
    if (!plan_.may_hedge() || ticket_) {
        return;
    }
    const auto chosen = use_.balancer.choose(placement_, now);
    if (chosen && use_.retry_budget.try_consume(service_, now)) {
        send_to(**chosen, now);
    }
}

void request_handler::on_exchange_end(const kernel::upstream_name& id, exchange_result result)
{
    const auto found =
        std::find_if(attempts_.begin(), attempts_.end(), [&id](const auto& item) { return item.upstream == id; });
    if (ended_ || found == attempts_.end()) {
        return;
    }
    const auto now = use_.clock();
    const auto ended = *found;
    attempts_.erase(found);
    const auto outcome = judge(result);
    if (result.end == exchange_end::response_received) {
        answered_by_ = id;
    }
    record(ended, outcome, result, now);
    const bool ran_not =
        result.end == exchange_end::not_connected ||
        (result.end == exchange_end::response_received && is_refusal_without_run(result.response, use_.names));
    plan_.record_end(result.end, ran_not);
    settle(outcome, std::move(result), now);
    line().dispatch();
}

exchange_outcome request_handler::judge(const exchange_result& result) const
{
    switch (result.end) {
    case exchange_end::not_connected:
        return exchange_outcome::connect_failed;
    case exchange_end::closed:
    case exchange_end::invalid_response:
        return exchange_outcome::broken;
    case exchange_end::response_received:
        break;
    }
    const auto& answer = result.response;
    if (answer.status == misdirected_status) {
        return exchange_outcome::neutral;
    }
    if (is_refusal_without_run(answer, use_.names)) {
        return exchange_outcome::shed;
    }
    if (is_success(answer.status) && answer.headers.count(use_.names.signature) == 0) {
        return exchange_outcome::broken;
    }
    return answer.status >= first_error_status ? exchange_outcome::error : exchange_outcome::good;
}

void request_handler::record(const attempt& ended, exchange_outcome outcome, const exchange_result& result,
                             kernel::time_point now)
{
    use_.metrics.record_attempt(to_name(outcome));
    if (auto* item = use_.upstreams.find(ended.upstream)) {
        if (const auto sent = item->in_flight.find(ended.sent_at); sent != item->in_flight.end()) {
            item->in_flight.erase(sent);
        }
        const auto taken = now - ended.sent_at;
        if (result.end == exchange_end::response_received) {
            item->answered_at = now;
        }
        if (outcome == exchange_outcome::good) {
            const auto known = item->latency > kernel::duration::zero() ? item->latency : taken;
            item->latency = std::chrono::duration_cast<kernel::duration>((1 - latency_smoothing) * known +
                                                                         latency_smoothing * taken);
        }
        if (outcome == exchange_outcome::shed) {
            item->busy_until = now + busy_time;
        }
        const bool was_trusted = item->health.state(now) == trust::trusted;
        item->health.record(outcome, now);
        const auto state = item->health.state(now);
        if (was_trusted != (state == trust::trusted)) {
            const auto event = was_trusted ? proxy_event::upstream_suspected : proxy_event::upstream_trusted;
            use_.log.write(now, line_priority::important, event,
                           {{"upstream", ended.upstream.value()},
                            {"service", service_.value()},
                            {"outcome", std::string{to_name(outcome)}},
                            {"request", request_id_}});
        }
    }
    if (result.end == exchange_end::response_received && result.response.status == misdirected_status) {
        use_.connections.close_all(ended.upstream);
        use_.upstreams.mark_draining(ended.upstream);
    }
    if (outcome == exchange_outcome::good) {
        use_.quarantine.record_success(fingerprint_, now);
        return;
    }
    use_.log.write(now, line_priority::important, proxy_event::attempt_failed,
                   {{"request", request_id_},
                    {"route", route_->name.value()},
                    {"upstream", ended.upstream.value()},
                    {"outcome", std::string{to_name(outcome)}},
                    {"end", std::string{to_name(result.end)}},
                    {"status", std::to_string(result.response.status)},
                    {"reused", result.reused ? "yes" : "no"},
                    {"elapsed_ms", to_text(now - ended.sent_at)}});
    share(ended, outcome, result, now);
}

void request_handler::share(const attempt& ended, exchange_outcome outcome, const exchange_result& result,
                            kernel::time_point now)
{
    const bool crashed = outcome == exchange_outcome::broken && result.end == exchange_end::closed;
    if (crashed) {
        use_.quarantine.record({fingerprint_, ended.upstream}, now);
    }
    if (use_.share_evidence) {
        use_.share_evidence({ended.upstream, outcome, crashed ? fingerprint_ : 0});
    }
}

bool request_handler::may_retry(kernel::time_point now)
{
    if (now >= give_up_at_ || !plan_.may_retry()) {
        return false;
    }
    return !plan_.retry_uses_budget() || use_.retry_budget.try_consume(service_, now);
}

void request_handler::settle(exchange_outcome outcome, exchange_result result, kernel::time_point now)
{
    if (outcome == exchange_outcome::good) {
        deliver(std::move(result.response));
        return;
    }
    if (outcome == exchange_outcome::error) {
        fallback_ = std::move(result.response);
        if (!is_repeatable() || fallback_->status == server_timeout_status) {
            deliver(std::move(*fallback_));
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
    if (fallback_) {
        deliver(std::move(*fallback_));
        return;
    }
    if (plan_.may_have_run()) {
        refuse({502, "upstream_failed", std::nullopt});
        return;
    }
    refuse({503, outcome == exchange_outcome::shed ? "upstreams_full" : "unreachable", retry_when_free});
}

void request_handler::on_deadline()
{
    const bool waiting = ticket_.has_value();
    cancel_attempts(exchange_outcome::timed_out);
    if (fallback_) {
        deliver(std::move(*fallback_));
        return;
    }
    if (!plan_.may_have_run()) {
        refuse({503, waiting ? "overloaded" : "unreachable", retry_when_free});
        return;
    }
    refuse({504, "deadline", std::nullopt});
}

void request_handler::expire()
{
    if (!ended_) {
        on_deadline();
    }
}

void request_handler::on_caller_disconnect()
{
    if (ended_) {
        return;
    }
    const auto now = use_.clock();
    use_.log.write(now, line_priority::routine, proxy_event::caller_left,
                   {{"request", request_id_}, {"elapsed_ms", to_text(now - arrived_)}});
    cancel_attempts(exchange_outcome::neutral);
    session_->abort();
    end(caller_left);
    line().dispatch();
}

// An attempt that has taken no longer than usual says nothing about its upstream, and neither does one whose upstream
// has answered others meanwhile: it waits in the queue there.
void request_handler::cancel_attempts(exchange_outcome evidence)
{
    if (attempts_.empty()) {
        return;
    }
    const auto now = use_.clock();
    const auto usual = route_ == nullptr ? kernel::duration{} : use_.balancer.service_latency(service_);
    auto cancelled = std::move(attempts_);
    attempts_.clear();
    for (const auto& item : cancelled) {
        plan_.record_cancel(item.exchange->sent());
        item.exchange->cancel();
        const bool slow = now - item.sent_at > hedge_factor * usual;
        const auto* known = use_.upstreams.find(item.upstream);
        const bool answers = known != nullptr && known->answered_at > item.sent_at;
        record(item, slow && !answers ? evidence : exchange_outcome::neutral, {exchange_end::closed, {}, false}, now);
    }
}

void request_handler::deliver(upstream_response answer)
{
    cancel_attempts(exchange_outcome::neutral);
    const auto now = use_.clock();
    if (!is_success(answer.status)) {
        use_.log.write(now, line_priority::important, proxy_event::request_failed,
                       {{"request", request_id_},
                        {"route", route_->name.value()},
                        {"version", std::to_string(table_->version().value())},
                        {"status", std::to_string(answer.status)},
                        {"reason", "answer_of_upstream"},
                        {"upstream", answered_by_.value()},
                        {"sends", std::to_string(plan_.attempts())},
                        {"elapsed_ms", to_text(now - arrived_)}});
    }
    else {
        use_.log.write(now, line_priority::routine, proxy_event::request_served,
                       {{"request", request_id_},
                        {"route", route_->name.value()},
                        {"version", std::to_string(table_->version().value())},
                        {"upstream", answered_by_.value()},
                        {"sends", std::to_string(plan_.attempts())},
                        {"elapsed_ms", to_text(now - arrived_)}});
    }
    caller_response response;
    response.status = answer.status;
    response.headers = headers_for_caller(answer.headers);
    response.body = std::move(answer.body);
    const auto session = session_;
    end(is_success(answer.status) ? served : "upstream_error");
    session->respond(std::move(response));
}

void request_handler::refuse(const refusal& answer)
{
    const auto now = use_.clock();
    const auto age = use_.freshness.age(now);
    use_.log.write(now, line_priority::important,
                   plan_.may_have_run() ? proxy_event::request_failed : proxy_event::request_refused,
                   {{"request", request_id_},
                    {"route", route_ == nullptr ? "" : route_->name.value()},
                    {"customer", customer_name().value()},
                    {"status", std::to_string(answer.status)},
                    {"reason", std::string{answer.reason}},
                    {"version", table_ ? std::to_string(table_->version().value()) : "0"},
                    {"age_ms", age ? to_text(*age) : "unknown"},
                    {"sends", std::to_string(plan_.attempts())},
                    {"elapsed_ms", to_text(now - arrived_)}});
    caller_response response;
    response.status = answer.status;
    if (!request_id_.empty()) {
        response.headers.emplace_back(use_.names.request_id, request_id_);
    }
    if (answer.retry_after && (answer.status == 503 || answer.status == 429)) {
        response.headers.emplace_back("Retry-After", retry_after_text(*answer.retry_after));
    }
    const auto session = session_;
    end(answer.reason);
    session->respond(std::move(response));
}

void request_handler::end(std::string_view outcome)
{
    ended_ = true;
    leave_line();
    deadline_.cancel();
    hedge_.cancel();
    const auto now = use_.clock();
    if (!service_.value().empty()) {
        const auto unserved = outcome == caller_left ? request_result::disconnected : request_result::unserved;
        use_.results.record(service_, outcome == served ? request_result::served : unserved, now);
    }
    use_.metrics.record_request(customer_name(), outcome, now - arrived_);
}

} // namespace wisterialane::proxy
