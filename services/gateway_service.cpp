#include "services/gateway_service.h"

#include "kernel/event_log.h"
#include "libraries/gateway/forwarded_headers.h"
#include "libraries/gateway/gateway_events.h"
#include "libraries/gateway/key_text.h"
#include "libraries/gateway/request_target.h"
#include "services/address_answer.h"
#include "services/claim_service.h"
#include "services/health_service.h"
#include "services/limit_service.h"
#include "services/metrics_service.h"

#include <string>
#include <utility>

namespace wisterialane::services {
namespace {

constexpr std::string_view own_path = "/.wisterialane/";
constexpr std::string_view addresses_path = "/.wisterialane/addresses";
constexpr std::string_view health_path = "/.wisterialane/health";
constexpr std::chrono::seconds retry_soon{1};

} // namespace

gateway_service::gateway_service(gateway_service_settings settings, const kernel::service_registry& registry,
                                 kernel::clock_source clock)
    : settings_{std::move(settings)}, registry_{registry}, clock_{std::move(clock)}, connections_{
                                                                                         settings_.upstream_idle}
{
    configuration_ = registry_.find<configuration_service>(configuration_service::service_name);
    auto& health = *registry_.find<health_service>(health_service::service_name);
    const auto choose = [&health](const slot_request& request, kernel::time_point now) {
        return health.choose(request.service, request.route, request.excluded, now);
    };
    slots_.emplace(choose, clock_);
    // The configuration service accepts listeners only until it starts.
    configuration_->add_listener([this](const configuration::configuration_set& set) { follow_slots(set); });
}

kernel::result<void> gateway_service::start()
{
    auto& health = *registry_.find<health_service>(health_service::service_name);
    const auto try_retry = [this] {
        const std::lock_guard lock{mutex_};
        return retries_.try_retry();
    };
    collaborators_.emplace(pipeline_collaborators{*configuration_, *registry_.find<limit_service>("limits"), health,
                                                  registry_.find<claim_service>(claim_service::service_name)->store(),
                                                  *registry_.find<metrics_service>("metrics"), connections_, *slots_,
                                                  try_retry, clock_, settings_.instance});
    configuration_->read([this](const configuration::configuration_set& set) { follow_slots(set); });
    auto created =
        http::server::create(settings_.listen, [this](http::server_exchange& exchange) { handle(exchange); });
    if (!created) {
        return tl::unexpected{created.error()};
    }
    server_ = std::move(*created);
    return {};
}

void gateway_service::follow_slots(const configuration::configuration_set& set)
{
    std::unordered_map<kernel::service_name, unsigned> slots;
    for (const auto& reference : set.list()) {
        if (reference.kind == configuration::object_kind::upstream) {
            const auto* upstream = set.find_upstream(kernel::upstream_name{reference.name});
            slots[upstream->service] += upstream->slots;
        }
    }
    for (const auto& [owner, count] : slots) {
        slots_->set_slots(owner, count);
    }
}

void gateway_service::begin_draining()
{
    kernel::log_event(kernel::severity::information, gateway::gateway_event::draining_started);
    const std::lock_guard lock{mutex_};
    intake_ = intake::draining;
}

void gateway_service::stop()
{
    {
        std::unique_lock lock{mutex_};
        intake_ = intake::refusing;
        idle_.wait(lock, [this] { return in_flight_ == 0; });
    }
    kernel::log_event(kernel::severity::information, gateway::gateway_event::draining_finished);
    server_.reset();
}

std::size_t gateway_service::in_flight() const
{
    const std::lock_guard lock{mutex_};
    return in_flight_;
}

gateway_service::intake gateway_service::current_intake() const
{
    const std::lock_guard lock{mutex_};
    return intake_;
}

gateway_service::intake gateway_service::enter()
{
    const std::lock_guard lock{mutex_};
    if (intake_ != intake::refusing) {
        ++in_flight_;
        retries_.record_request();
    }
    return intake_;
}

void gateway_service::leave()
{
    const std::lock_guard lock{mutex_};
    --in_flight_;
    if (in_flight_ == 0) {
        idle_.notify_all();
    }
}

void gateway_service::handle(http::server_exchange& exchange)
{
    const auto state = enter();
    if (state != intake::serving) {
        exchange.close_connection();
    }
    if (state == intake::refusing) {
        gateway::send_refusal(exchange, {gateway::refusal_reason::stopping, gateway::execution::not_run, retry_soon});
        return;
    }
    dispatch(exchange);
    leave();
}

void gateway_service::dispatch(http::server_exchange& exchange)
{
    const std::string_view target = exchange.head().target;
    const auto path = target.substr(0, target.find('?'));
    if (path == addresses_path) {
        answer_addresses(exchange);
    }
    else if (path == health_path) {
        answer_health(exchange);
    }
    else if (path.substr(0, own_path.size()) == own_path) {
        gateway::send_refusal(exchange, {gateway::refusal_reason::no_route, gateway::execution::not_run, std::nullopt});
    }
    else {
        request_pipeline{*collaborators_, exchange}.run();
    }
}

void gateway_service::answer_health(http::server_exchange& exchange)
{
    const bool fresh = configuration_->freshness_at(clock_()) == configuration::freshness::fresh;
    const bool serving = current_intake() == intake::serving;
    (void)exchange.respond(fresh && serving ? 200 : 503, {}, fresh ? (serving ? "serving" : "draining") : "stale");
}

std::optional<kernel::customer_name> gateway_service::find_customer(std::string_view key) const
{
    const auto digest = gateway::digest_of_key(key);
    std::optional<kernel::customer_name> customer;
    configuration_->read([&](const configuration::configuration_set& set) {
        const auto* known = set.find_key_by_digest(digest);
        if (known != nullptr && known->state == configuration::key_state::active) {
            customer = known->customer;
        }
    });
    return customer;
}

std::size_t gateway_service::random_below(std::size_t bound)
{
    const std::lock_guard lock{mutex_};
    return std::uniform_int_distribution<std::size_t>{0, bound - 1}(random_);
}

void gateway_service::answer_addresses(http::server_exchange& exchange)
{
    const auto refuse = [&exchange](gateway::refusal_reason reason,
                                    std::optional<std::chrono::milliseconds> retry_after = {}) {
        gateway::send_refusal(exchange, {reason, gateway::execution::not_run, retry_after});
    };
    const auto now = clock_();
    const auto target = gateway::parse_request_target(exchange.head().target);
    const auto key = gateway::presented_key(exchange.head().headers);
    const auto asked = target ? gateway::query_parameter(target->query, "service") : std::nullopt;
    if (!target || !key || !asked) {
        return refuse(gateway::refusal_reason::malformed);
    }
    if (configuration_->freshness_at(now) == configuration::freshness::stale) {
        return refuse(gateway::refusal_reason::configuration_stale, retry_soon);
    }
    address_query query;
    query.service = kernel::service_name{*asked};
    query.data_centre = kernel::data_centre_name{
        gateway::query_parameter(target->query, "data_centre").value_or(settings_.data_centre.value())};
    if (*key) {
        const auto customer = find_customer(**key);
        if (!customer) {
            return refuse(gateway::refusal_reason::key_refused);
        }
        query.homes = collaborators_->limits.home_addresses(*customer);
    }
    bool known = false;
    configuration_->read(
        [&](const configuration::configuration_set& set) { known = set.find_service(query.service) != nullptr; });
    if (!known) {
        return refuse(gateway::refusal_reason::no_route);
    }
    query.live = configuration_->live_hosts(now);
    const auto addresses = order_addresses(query, [this](std::size_t bound) { return random_below(bound); });
    http::header_list headers;
    headers.add("Content-Type", "application/json");
    (void)exchange.respond(
        200, std::move(headers),
        render_addresses(query.service, addresses, settings_.address_keep, configuration_->version()));
}

} // namespace wisterialane::services
