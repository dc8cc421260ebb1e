#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/claims/claim_store.h"
#include "libraries/configuration/configuration_view.h"
#include "libraries/configuration/objects.h"
#include "libraries/gateway/refusal.h"
#include "libraries/gateway/request_body.h"
#include "libraries/gateway/request_target.h"
#include "libraries/gateway/upstream_attempt.h"
#include "libraries/http/connection_pool.h"
#include "libraries/http/server_exchange.h"
#include "services/health_service.h"
#include "services/limit_service.h"
#include "services/metrics_service.h"
#include "services/slot_gate.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_set>

namespace wisterialane::services {

/// What a request needs of the other services. All references outlive the requests.
struct pipeline_collaborators {
    const configuration::configuration_view& configuration;
    limit_service& limits;
    health_service& health;
    claims::claim_store& claims;
    metrics_service& metrics;
    http::connection_pool& connections;
    slot_gate& slots;
    /// Whether a retry of an idempotent request is within the budget.
    std::function<bool()> try_retry;
    kernel::clock_source clock;
    kernel::instance_id instance;
};

/// Takes one request of a caller from its head to the end of its answer: route, key, rate, claim, upstream, answer.
/// Used once, on the connection's thread.
class request_pipeline {
public:
    request_pipeline(const pipeline_collaborators& use, http::server_exchange& exchange);

    /// Runs the request and sends the answer or a refusal.
    void run();

private:
    /// An answer of an upstream, on its way to the caller.
    struct upstream_answer {
        http::response_head head;
        /// The whole body when it is small, so that a cut is noticed before the caller sees anything.
        std::optional<std::string> body;
        /// The connection with the rest of the answer, when the body is streamed.
        std::unique_ptr<http::client_connection> connection;
        health::choice_handle choice;
        kernel::time_point sent_at;
        kernel::duration head_latency{};
    };

    template <class T>
    using step = tl::expected<T, gateway::refusal>;

    step<void> resolve_route();
    step<void> authenticate();
    step<void> check_authority(kernel::time_point now) const;
    step<void> check_head();
    void set_deadline();
    step<void> admit();
    step<void> read_body();
    step<void> check_quarantine();
    /// Claims the request id; an answer here is the stored one of an earlier run.
    step<std::optional<http::buffered_response>> claim();
    step<void> prepare();
    void execute();

    step<upstream_answer> run_on_upstreams();
    step<health::chosen_upstream> choose_upstream(const std::unordered_set<kernel::upstream_name>& excluded);
    tl::expected<upstream_answer, gateway::attempt_end> run_once(const health::chosen_upstream& upstream);
    tl::expected<upstream_answer, gateway::attempt_end> receive_answer(const health::chosen_upstream& upstream,
                                                                       gateway::attempt_result&& result,
                                                                       kernel::time_point sent_at);
    [[nodiscard]] bool may_retry(gateway::attempt_end end);
    [[nodiscard]] gateway::refusal refuse_after(gateway::attempt_end end) const;
    [[nodiscard]] std::chrono::milliseconds response_timeout() const;
    [[nodiscard]] http::request_head head_for_upstream() const;
    void finish_choice(health::choice_handle choice, kernel::time_point sent_at, health::outcome_kind kind,
                       kernel::duration latency);

    void deliver(upstream_answer answer);
    void stream_body(upstream_answer& answer);
    void complete_claim(const upstream_answer& answer);
    void replay(const http::buffered_response& stored);
    void refuse(const gateway::refusal& answer);
    void settle_claim_after(const gateway::refusal& answer);
    void record_outcome(std::string_view outcome);

    [[nodiscard]] bool is_idempotent() const { return route_.semantics == configuration::route_semantics::idempotent; }

    const pipeline_collaborators& use_;
    http::server_exchange& exchange_;
    kernel::time_point started_;
    kernel::time_point deadline_;
    gateway::request_target target_;
    configuration::route route_;
    configuration::service service_;
    kernel::customer_name customer_;
    std::string metrics_class_;
    std::string key_digest_;
    std::optional<gateway::request_body> body_;
    std::uint64_t fingerprint_ = 0;
    std::optional<claims::claim_handle> claim_;
    std::string nonce_;
    gateway::execution executed_ = gateway::execution::not_run;
    bool new_connection_only_ = false;
};

} // namespace wisterialane::services
