#include "services/request_pipeline.h"

#include "kernel/event_log.h"
#include "kernel/random_id.h"
#include "libraries/gateway/forwarded_headers.h"
#include "libraries/gateway/gateway_events.h"
#include "libraries/gateway/key_text.h"
#include "libraries/gateway/request_fingerprint.h"
#include "libraries/http/http_events.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace wisterialane::services {
namespace {

using gateway::attempt_end;
using gateway::execution;
using gateway::refusal;
using gateway::refusal_reason;

// Larger answers are passed on while they arrive.
constexpr std::uint64_t buffered_answer_bytes = 64 * 1024;

// One attempt and two more for upstreams that did not run the request.
constexpr int maximum_attempts = 3;

constexpr std::size_t maximum_request_id_characters = 256;
constexpr std::size_t nonce_digits = 16;
constexpr int first_server_error = 500;
constexpr std::chrono::seconds retry_soon{1};

tl::unexpected<refusal> refused(refusal_reason reason, execution ran = execution::not_run)
{
    return tl::unexpected{refusal{reason, ran, std::nullopt}};
}

tl::unexpected<refusal> refused_for_now(refusal_reason reason, std::chrono::milliseconds retry_after)
{
    return tl::unexpected{refusal{reason, execution::not_run, retry_after}};
}

std::optional<std::chrono::milliseconds> parse_milliseconds(std::string_view text)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{value};
}

health::outcome_kind outcome_of(attempt_end end)
{
    switch (end) {
    case attempt_end::answered:
        return health::outcome_kind::good;
    case attempt_end::connect_refused:
        return health::outcome_kind::connect_refused;
    case attempt_end::connect_timeout:
        return health::outcome_kind::connect_timeout;
    case attempt_end::shed:
        return health::outcome_kind::shed;
    case attempt_end::closed_without_answer:
        return health::outcome_kind::crashed;
    case attempt_end::response_timeout:
        return health::outcome_kind::response_timeout;
    case attempt_end::unusable_answer:
    case attempt_end::crossed_answer:
        return health::outcome_kind::wrong_answer;
    case attempt_end::stale_connection:
    case attempt_end::caller_failed:
        break;
    }
    return health::outcome_kind::cancelled;
}

bool has_no_body(const http::request_head& request, const http::response_head& answer)
{
    return request.method == "HEAD" || answer.status == 204 || answer.status == 304;
}

// An answer with an empty body has no framing of its own, and the caller needs to know its length.
http::body_size size_for_caller(const http::request_head& request, const http::response_head& answer,
                                const http::body_size& size)
{
    if (size.framing != http::body_framing::none || has_no_body(request, answer)) {
        return size;
    }
    return {http::body_framing::length, 0};
}

std::string content_type_of(const http::response_head& head)
{
    return std::string{head.headers.find("Content-Type").value_or("application/octet-stream")};
}

} // namespace

request_pipeline::request_pipeline(const pipeline_collaborators& use, http::server_exchange& exchange)
    : use_{use}, exchange_{exchange}, started_{use.clock()}
{}

void request_pipeline::run()
{
    if (const auto prepared = prepare(); !prepared) {
        refuse(prepared.error());
        return;
    }
    execute();
}

request_pipeline::step<void> request_pipeline::prepare()
{
    return resolve_route()
        .and_then([this] { return authenticate(); })
        .and_then([this] { return check_head(); })
        .and_then([this] { return admit(); })
        .and_then([this] { return read_body(); })
        .and_then([this] { return check_quarantine(); });
}

request_pipeline::step<void> request_pipeline::resolve_route()
{
    auto target = gateway::parse_request_target(exchange_.head().target);
    if (!target) {
        return refused(refusal_reason::malformed);
    }
    target_ = std::move(*target);
    bool found = false;
    use_.configuration.read([&](const configuration::configuration_set& set) {
        const auto* route = set.match_route(target_.normalized_path);
        const auto* service = route == nullptr ? nullptr : set.find_service(route->service);
        if (service != nullptr) {
            route_ = *route;
            service_ = *service;
            found = true;
        }
    });
    if (!found) {
        return refused(refusal_reason::no_route);
    }
    set_deadline();
    return {};
}

void request_pipeline::set_deadline()
{
    auto time_left = route_.timeout;
    if (const auto given = exchange_.head().headers.find(gateway::deadline_header)) {
        time_left = std::min(time_left, parse_milliseconds(*given).value_or(time_left));
    }
    deadline_ = started_ + time_left;
}

request_pipeline::step<void> request_pipeline::authenticate()
{
    const auto key = gateway::presented_key(exchange_.head().headers);
    if (!key) {
        return refused(refusal_reason::malformed);
    }
    if (route_.access == configuration::route_access::open) {
        return {};
    }
    if (!*key) {
        return refused(refusal_reason::key_required);
    }
    key_digest_ = gateway::digest_of_key(**key);
    use_.configuration.read([&](const configuration::configuration_set& set) {
        const auto* known = set.find_key_by_digest(key_digest_);
        const auto* customer = known == nullptr ? nullptr : set.find_customer(known->customer);
        if (customer != nullptr && gateway::equal_digests(known->digest, key_digest_)) {
            customer_ = customer->name;
            metrics_class_ = customer->metrics_class;
        }
    });
    return check_authority(started_);
}

// Looked up again before each attempt, because the key may be withdrawn while a request waits.
request_pipeline::step<void> request_pipeline::check_authority(kernel::time_point now) const
{
    if (route_.access == configuration::route_access::open) {
        return {};
    }
    if (use_.configuration.freshness_at(now) == configuration::freshness::stale) {
        return refused_for_now(refusal_reason::configuration_stale, retry_soon);
    }
    bool active = false;
    use_.configuration.read([&](const configuration::configuration_set& set) {
        const auto* known = set.find_key_by_digest(key_digest_);
        active = known != nullptr && known->state == configuration::key_state::active && known->customer == customer_ &&
                 set.find_customer(customer_) != nullptr;
    });
    if (!active) {
        return refused(refusal_reason::key_refused);
    }
    return {};
}

request_pipeline::step<void> request_pipeline::check_head()
{
    const auto& headers = exchange_.head().headers;
    const auto given_deadline = headers.find(gateway::deadline_header);
    if (given_deadline && !parse_milliseconds(*given_deadline)) {
        return refused(refusal_reason::malformed);
    }
    if (headers.count("Upgrade") > 0 || exchange_.head().method == "CONNECT") {
        return refused(refusal_reason::malformed);
    }
    if (is_idempotent()) {
        return {};
    }
    const auto id = headers.find(gateway::idempotency_key_header);
    if (!id || id->empty()) {
        return refused(refusal_reason::request_id_required);
    }
    if (id->size() > maximum_request_id_characters || headers.count(gateway::idempotency_key_header) > 1) {
        return refused(refusal_reason::malformed);
    }
    return {};
}

request_pipeline::step<void> request_pipeline::admit()
{
    if (customer_.value().empty()) {
        return {};
    }
    const auto decision = use_.limits.admit(customer_, started_);
    if (decision.outcome == limits::admission_outcome::refused) {
        return refused_for_now(refusal_reason::rate_limited,
                               std::chrono::ceil<std::chrono::milliseconds>(decision.retry_after));
    }
    return {};
}

request_pipeline::step<void> request_pipeline::read_body()
{
    body_.emplace(exchange_, route_.maximum_body_bytes);
    const auto read = body_->read_ahead();
    if (read) {
        return {};
    }
    exchange_.close_connection();
    const bool too_large = read.error().is(http::http_event::body_too_large);
    return refused(too_large ? refusal_reason::body_too_large : refusal_reason::malformed);
}

request_pipeline::step<void> request_pipeline::check_quarantine()
{
    fingerprint_ =
        gateway::fingerprint_request(customer_, exchange_.head(), exchange_.request_body(), body_->beginning());
    if (!use_.health.is_quarantined(fingerprint_, use_.clock())) {
        return {};
    }
    kernel::log_event(kernel::severity::warning, gateway::gateway_event::request_quarantined,
                      {{"customer", customer_.value()},
                       {"route", route_.name.value()},
                       {"fingerprint", gateway::to_text(fingerprint_)}});
    return refused(refusal_reason::quarantined);
}

void request_pipeline::execute()
{
    auto claimed = claim();
    if (!claimed) {
        refuse(claimed.error());
        return;
    }
    if (*claimed) {
        replay(**claimed);
        return;
    }
    auto answer = run_on_upstreams();
    if (!answer) {
        settle_claim_after(answer.error());
        refuse(answer.error());
        return;
    }
    deliver(std::move(*answer));
}

request_pipeline::step<std::optional<http::buffered_response>> request_pipeline::claim()
{
    if (is_idempotent()) {
        return std::nullopt;
    }
    const std::string id{*exchange_.head().headers.find(gateway::idempotency_key_header)};
    auto outcome =
        use_.claims.claim(customer_, id, claims::request_digest{gateway::to_text(fingerprint_)}, use_.instance);
    if (!outcome) {
        return refused_for_now(refusal_reason::claims_unavailable, retry_soon);
    }
    if (auto* granted = std::get_if<claims::claim_granted>(&*outcome)) {
        claim_ = std::move(granted->handle);
        return std::nullopt;
    }
    if (auto* completed = std::get_if<claims::already_completed>(&*outcome)) {
        if (!completed->answer.body) {
            return refused(refusal_reason::already_claimed, execution::ran);
        }
        http::buffered_response stored;
        stored.head.status = completed->answer.status;
        stored.head.headers.add("Content-Type", completed->answer.content_type);
        stored.body = *completed->answer.body;
        return stored;
    }
    if (std::holds_alternative<claims::request_id_reused>(*outcome)) {
        return refused(refusal_reason::request_id_reused);
    }
    return refused(refusal_reason::already_claimed, execution::unknown);
}

request_pipeline::step<request_pipeline::upstream_answer> request_pipeline::run_on_upstreams()
{
    std::unordered_set<kernel::upstream_name> excluded;
    auto last = refusal{refusal_reason::no_upstream, execution::not_run, retry_soon};
    for (int attempt = 0; attempt < maximum_attempts; ++attempt) {
        auto chosen = choose_upstream(excluded);
        if (!chosen) {
            // Nothing was sent now, but an earlier attempt may have run.
            return executed_ == execution::not_run ? tl::unexpected{chosen.error()} : tl::unexpected{last};
        }
        auto answer = run_once(*chosen);
        if (answer) {
            return std::move(*answer);
        }
        if (gateway::may_have_run(answer.error())) {
            executed_ = execution::unknown;
        }
        last = refuse_after(answer.error());
        if (!may_retry(answer.error())) {
            break;
        }
        if (answer.error() == attempt_end::stale_connection) {
            new_connection_only_ = true;
        }
        else {
            excluded.insert(chosen->name);
        }
    }
    return tl::unexpected{last};
}

request_pipeline::step<health::chosen_upstream>
request_pipeline::choose_upstream(const std::unordered_set<kernel::upstream_name>& excluded)
{
    const auto now = use_.clock();
    if (now >= deadline_) {
        return refused(refusal_reason::deadline, executed_);
    }
    if (const auto allowed = check_authority(now); !allowed) {
        return tl::unexpected{allowed.error()};
    }
    auto chosen = use_.slots.acquire({route_.service, route_.name, customer_, excluded, deadline_});
    if (chosen) {
        return std::move(*chosen);
    }
    switch (chosen.error()) {
    case gate_refusal::no_upstream:
        return refused_for_now(refusal_reason::no_upstream, retry_soon);
    case gate_refusal::overloaded:
        return refused_for_now(refusal_reason::overloaded, retry_soon);
    case gate_refusal::deadline:
        break;
    }
    return refused(refusal_reason::deadline, executed_);
}

tl::expected<request_pipeline::upstream_answer, attempt_end>
request_pipeline::run_once(const health::chosen_upstream& upstream)
{
    nonce_ = kernel::random_hex(nonce_digits);
    auto sent_at = use_.clock();
    gateway::attempt_settings settings;
    settings.address = upstream.address;
    // A connection that died while idle would make the outcome of a request that must not run twice unknown.
    const bool reuse_allowed = is_idempotent() && body_->complete() && !new_connection_only_;
    settings.reuse = reuse_allowed ? http::connection_reuse::allowed : http::connection_reuse::new_only;
    settings.response_timeout = response_timeout();
    settings.exchange_nonce = nonce_;
    settings.echo = service_.echo == configuration::exchange_echo::required ? gateway::echo_policy::required
                                                                            : gateway::echo_policy::optional;
    settings.on_sent = [&] {
        sent_at = use_.clock();
        use_.health.request_sent(upstream.handle, sent_at);
    };
    auto result = gateway::run_attempt(use_.connections, settings, head_for_upstream(), *body_);
    use_.metrics.record_attempt(gateway::to_name(result.end));
    if (result.draining) {
        use_.health.mark_leaving(upstream.name, use_.clock());
    }
    if (result.end == attempt_end::stale_connection) {
        use_.connections.discard(upstream.address);
    }
    if (result.end != attempt_end::answered) {
        finish_choice(upstream.handle, sent_at, outcome_of(result.end), {});
        return tl::unexpected{result.end};
    }
    return receive_answer(upstream, std::move(result), sent_at);
}

tl::expected<request_pipeline::upstream_answer, attempt_end>
request_pipeline::receive_answer(const health::chosen_upstream& upstream, gateway::attempt_result&& result,
                                 kernel::time_point sent_at)
{
    use_.health.answer_started(upstream.handle);
    upstream_answer answer;
    answer.head = std::move(result.head);
    answer.connection = std::move(result.connection);
    answer.choice = upstream.handle;
    answer.sent_at = sent_at;
    answer.head_latency = use_.clock() - sent_at;
    const auto& size = answer.connection->response_body();
    const bool small = size.framing == http::body_framing::none ||
                       (size.framing == http::body_framing::length && size.length <= buffered_answer_bytes);
    if (!small) {
        return answer;
    }
    auto body = http::receive_whole_body(*answer.connection, buffered_answer_bytes);
    if (!body) {
        finish_choice(upstream.handle, sent_at, health::outcome_kind::cut, {});
        return tl::unexpected{attempt_end::unusable_answer};
    }
    answer.body = std::move(*body);
    use_.connections.release(std::move(answer.connection), use_.clock());
    const bool error = answer.head.status >= first_server_error;
    finish_choice(upstream.handle, sent_at, error ? health::outcome_kind::error : health::outcome_kind::good,
                  answer.head_latency);
    return answer;
}

bool request_pipeline::may_retry(attempt_end end)
{
    if (end == attempt_end::connect_refused || end == attempt_end::connect_timeout) {
        return true;
    }
    if (!body_->complete() || end == attempt_end::caller_failed) {
        return false;
    }
    if (end == attempt_end::shed) {
        return use_.try_retry();
    }
    return is_idempotent() && use_.try_retry();
}

refusal request_pipeline::refuse_after(attempt_end end) const
{
    switch (end) {
    case attempt_end::shed:
        return {refusal_reason::overloaded, executed_, retry_soon};
    case attempt_end::connect_refused:
    case attempt_end::connect_timeout:
        return {refusal_reason::no_upstream, executed_, retry_soon};
    case attempt_end::crossed_answer:
        return {refusal_reason::answer_mismatch, executed_, std::nullopt};
    case attempt_end::response_timeout:
        return {refusal_reason::deadline, executed_, std::nullopt};
    case attempt_end::answered:
    case attempt_end::stale_connection:
    case attempt_end::closed_without_answer:
    case attempt_end::unusable_answer:
    case attempt_end::caller_failed:
        break;
    }
    return {refusal_reason::upstream_failed, executed_, std::nullopt};
}

std::chrono::milliseconds request_pipeline::response_timeout() const
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline_ - use_.clock());
    // Leaves time for a second attempt where one is allowed.
    const bool first_of_two = is_idempotent() && body_->complete() && executed_ == execution::not_run;
    return std::max(std::chrono::milliseconds{1}, first_of_two ? left / 2 : left);
}

http::request_head request_pipeline::head_for_upstream() const
{
    http::request_head head;
    head.method = exchange_.head().method;
    head.target = target_.path;
    if (const auto query = gateway::query_without_keys(target_.query); !query.empty()) {
        head.target += "?" + query;
    }
    head.headers = gateway::request_headers_for_upstream(exchange_.head().headers);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - use_.clock());
    head.headers.add(std::string{gateway::deadline_header}, std::to_string(std::max<std::int64_t>(0, left.count())));
    head.headers.add(std::string{gateway::exchange_header}, nonce_);
    if (!customer_.value().empty()) {
        head.headers.add(std::string{gateway::customer_header}, customer_.value());
    }
    return head;
}

void request_pipeline::finish_choice(health::choice_handle choice, kernel::time_point sent_at,
                                     health::outcome_kind kind, kernel::duration latency)
{
    const auto now = use_.clock();
    use_.health.finish(choice, {kind, latency, fingerprint_}, now);
    use_.slots.release(route_.service, now - sent_at);
}

void request_pipeline::deliver(upstream_answer answer)
{
    complete_claim(answer);
    http::response_head head;
    head.status = answer.head.status;
    head.headers = gateway::response_headers_for_caller(answer.head.headers);
    head.headers.add(std::string{gateway::ran_header}, "yes");
    if (!answer.body) {
        const auto size = size_for_caller(exchange_.head(), answer.head, answer.connection->response_body());
        (void)exchange_.start_response(head, size);
        stream_body(answer);
        return;
    }
    const bool no_body = has_no_body(exchange_.head(), answer.head);
    const http::body_size size{no_body ? http::body_framing::none : http::body_framing::length, answer.body->size()};
    const auto sent =
        exchange_.start_response(head, size).and_then([&] { return exchange_.write_body(*answer.body); }).and_then([&] {
            return exchange_.finish_response();
        });
    record_outcome(sent ? "answered" : "caller-gone");
}

// A cut answer ends with a closed connection, so that the caller never takes a part for the whole.
void request_pipeline::stream_body(upstream_answer& answer)
{
    std::array<char, 32 * 1024> buffer{};
    auto kind = answer.head.status >= first_server_error ? health::outcome_kind::error : health::outcome_kind::good;
    bool delivered = false;
    while (true) {
        const auto count = answer.connection->receive_body(buffer);
        if (!count) {
            kind = health::outcome_kind::cut;
            break;
        }
        if (*count == 0) {
            delivered = exchange_.finish_response().has_value();
            break;
        }
        if (!exchange_.write_body({buffer.data(), *count})) {
            kind = health::outcome_kind::cancelled;
            break;
        }
    }
    if (!delivered) {
        exchange_.close_connection();
    }
    use_.connections.release(std::move(answer.connection), use_.clock());
    finish_choice(answer.choice, answer.sent_at, kind, answer.head_latency);
    record_outcome(delivered ? "answered" : "answer-cut");
}

// Completed before the caller sees the answer, so that a repeat after the answer always finds it.
void request_pipeline::complete_claim(const upstream_answer& answer)
{
    if (claim_) {
        (void)use_.claims.complete(*claim_, answer.head.status, content_type_of(answer.head), answer.body);
        claim_.reset();
    }
}

void request_pipeline::settle_claim_after(const refusal& answer)
{
    if (claim_ && answer.ran == execution::not_run) {
        use_.claims.release(*claim_);
        claim_.reset();
    }
}

void request_pipeline::replay(const http::buffered_response& stored)
{
    http::header_list headers = stored.head.headers;
    headers.add(std::string{gateway::replayed_header}, "1");
    headers.add(std::string{gateway::ran_header}, "yes");
    (void)exchange_.respond(stored.head.status, std::move(headers), stored.body);
    record_outcome("replayed");
}

void request_pipeline::refuse(const refusal& answer)
{
    if (answer.ran == execution::unknown) {
        kernel::log_event(kernel::severity::warning, gateway::gateway_event::outcome_unknown,
                          {{"customer", customer_.value()},
                           {"route", route_.name.value()},
                           {"reason", std::string{gateway::to_name(answer.reason)}}});
    }
    gateway::send_refusal(exchange_, answer);
    record_outcome(gateway::to_name(answer.reason));
}

void request_pipeline::record_outcome(std::string_view outcome)
{
    const auto now = use_.clock();
    use_.metrics.record_request(customer_, metrics_class_, outcome, now - started_, now);
}

} // namespace wisterialane::services
