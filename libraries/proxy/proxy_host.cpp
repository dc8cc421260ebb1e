#include "libraries/proxy/proxy_host.h"

#include "kernel/random_id.h"
#include "libraries/proxy/admission/late_loop.h"
#include "libraries/proxy/proxy_events.h"
#include "libraries/proxy/request_handler.h"

#include <algorithm>
#include <map>
#include <random>

namespace wisterialane::proxy {
namespace {

using kernel::line_priority;
using milliseconds = std::chrono::milliseconds;

constexpr milliseconds tick_interval{250};
constexpr milliseconds active_state_interval{500};
constexpr milliseconds standby_state_interval{1000};
/// Minimum interval between the messages that report the admissions of a customer near its limit at once.
constexpr milliseconds urgent_report_interval{40};
constexpr milliseconds first_host_read_delay{700};
/// Every host sends its state to the hosts that it reads from the store, so the periodic read is only a fallback.
constexpr milliseconds host_read_interval{120000};
constexpr milliseconds registration_retry_interval{500};
/// A host whose configuration was last confirmed longer ago is not ready.
constexpr milliseconds maximum_ready_age{2500};
constexpr milliseconds default_address_ttl{3000};
/// Time after its start in which a process has not yet received messages from all hosts.
constexpr milliseconds discovery_time{2000};
/// Hosts of a data centre that started together have received one another's messages by then.
constexpr milliseconds reader_discovery_time{1200};
/// Number of active hosts that is assumed until messages of the other hosts have been received.
constexpr std::size_t assumed_active_hosts = 8;
/// Invalid objects of a version that are logged one by one.
constexpr std::size_t maximum_logged_faults = 20;
/// Part of the process's memory that messages may use. The rest is for everything else: code, connections, tables, and
/// what the allocator cannot return.
constexpr double message_memory_fraction = 0.6;
constexpr milliseconds service_report_interval{1000};
/// A service with a greater fraction of unserved requests is logged.
constexpr double reported_unserved_fraction = 0.05;
/// Services of which a message reports the supply.
constexpr std::size_t maximum_reported_supplies = 32;
constexpr milliseconds stop_check_interval{50};
constexpr std::size_t instance_digits = 16;

std::string_view to_text(directory_change change)
{
    switch (change) {
    case directory_change::added:
        return "added";
    case directory_change::draining:
        return "leaving";
    case directory_change::limit_changed:
    case directory_change::cold_changed:
    case directory_change::removed:
        break;
    }
    return "removed";
}

proxy_event event_of(directory_change change)
{
    switch (change) {
    case directory_change::added:
        return proxy_event::upstream_added;
    case directory_change::draining:
        return proxy_event::upstream_leaving;
    case directory_change::limit_changed:
    case directory_change::cold_changed:
    case directory_change::removed:
        break;
    }
    return proxy_event::upstream_removed;
}

} // namespace

proxy_host::proxy_host(io_context& context, proxy_settings settings, store_client& store, kernel::clock_source clock)
    : context_{context}, settings_{std::move(settings)}, store_{store},
      environment_{context,
                   std::move(clock),
                   settings_.names,
                   [this](const auto& record, auto change) { on_directory_change(record, change); },
                   settings_.self.data_centre,
                   std::random_device{}(),
                   {}},
      peers_{{settings_.self, settings_.hosts_per_data_centre}}, load_{settings_.self.processor_cores},
      membership_report_{environment_.metrics, environment_.log}, evidence_receiver_{environment_},
      own_evidence_timer_{context.get_executor()}, forwarded_evidence_timer_{context.get_executor()},
      own_evidence_{[this](auto evidence) {
                        send_evidence(peers_.recipient_addresses(environment_.clock()), std::move(evidence));
                    },
                    [this](auto delay) { flush_later(own_evidence_timer_, own_evidence_, delay); }},
      forwarded_evidence_{
          [this](auto evidence) { send_evidence(peers_.data_centre_peer_addresses(), std::move(evidence)); },
          [this](auto delay) { flush_later(forwarded_evidence_timer_, forwarded_evidence_, delay); }},
      tick_timer_{context.get_executor()}, hosts_timer_{context.get_executor()},
      stop_timer_{context.get_executor()}, instance_{kernel::random_hex(instance_digits)}
{
    store_watch_ = std::make_shared<store_watch>(
        context, store_, environment_.upstreams, environment_.evacuated, environment_.freshness, environment_.metrics,
        environment_.log,
        store_watch::hooks{
            [this](auto configuration) { apply(std::move(configuration)); },
            [this] { return environment_.routing ? environment_.routing->version() : kernel::version_number{}; },
            [this](auto now) { return is_store_reader(now); }, [this](auto relay) { send_relay(std::move(relay)); },
            environment_.clock, [this] { on_evacuations_changed(); }, [this] { register_self(); },
            [this](auto now) { return store_retry_delay(now); },
            [this](auto version, const auto& document) { send_document(version, document); }});
    loop_monitor_ = std::make_shared<event_loop_monitor>(context, environment_.clock, [this](auto late_by, auto now) {
        environment_.loop_delay.record(late_by, now);
        environment_.metrics.record_event_loop_delay(late_by);
    });
    peer_channel_ = std::make_shared<peer_channel>(context, [this](const auto& message) { on_peer_message(message); });
    environment_.share_evidence = [this](const shared_evidence& evidence, bool unexpected) {
        const auto now = environment_.clock();
        // Only this outcome depends on it, and each request has an outcome.
        const bool active = evidence.outcome == exchange_outcome::timed_out && peers_.is_active(now);
        if (evidence.notice || should_share_evidence(evidence.outcome, unexpected, active)) {
            own_evidence_.add({evidence}, now, evidence_interval());
        }
    };
    environment_.report_admissions = [this] { report_admissions(); };
    environment_.upstreams.set_order_seed(std::random_device{}());
    environment_.balancer.set_host(settings_.self.host);
    reload(settings_.reloadable);
}

void proxy_host::reload(const reloadable_settings& settings)
{
    settings_.reloadable = settings;
    environment_.retry_budget.configure(settings.retries);
    environment_.quota.set_bound(settings.quota);
    environment_.age_limits = settings.age_limits;
    environment_.balancer.cold_limit().set_bounds(settings.cold_upstreams);
    const auto limit = static_cast<double>(settings.memory_limit_bytes);
    environment_.memory->set_capacity(static_cast<std::size_t>(message_memory_fraction * limit));
}

kernel::result<void> proxy_host::listen(std::shared_ptr<caller_listener>& listener, const tcp::endpoint& address,
                                        void (proxy_host::*handler)(const std::shared_ptr<caller_exchange>&))
{
    auto hooks = std::make_shared<session_hooks>();
    hooks->handle_request = [this, handler](const auto& exchange) { handle_safely(exchange, handler); };
    hooks->limits = [this] { return current_limits(environment_.clock()); };
    hooks->is_draining = [this] { return environment_.stop.stopping(); };
    hooks->clock = environment_.clock;
    hooks->refuse_request = [this](const auto& exchange) { refuse_for_memory(exchange); };
    hooks->memory = environment_.memory;
    hooks->is_repeatable = [this](const auto& request) { return is_repeatable(request); };
    hooks->record_pipeline_wait = [this](auto waited) { environment_.metrics.record_pipeline_wait(waited); };
    hooks->record_end = [this](auto reason, auto cut_requests) {
        environment_.metrics.record_connection_end(to_name(reason), cut_requests);
    };
    listener = std::make_shared<caller_listener>(context_, std::move(hooks));
    return listener->listen(address);
}

kernel::result<void> proxy_host::start()
{
    started_at_ = environment_.clock();
    auto opened =
        peer_channel_->open(settings_.peer_endpoint)
            .and_then([this] {
                return listen(readiness_listener_, settings_.readiness_endpoint, &proxy_host::handle_readiness_request);
            })
            .and_then([this] {
                return listen(addresses_listener_, settings_.addresses_endpoint, &proxy_host::handle_addresses_request);
            })
            .and_then(
                [this] { return listen(caller_listener_, settings_.caller_endpoint, &proxy_host::handle_request); });
    if (opened && settings_.metrics_port != 0) {
        opened = listen(metrics_listener_, {settings_.bind_address, settings_.metrics_port},
                        &proxy_host::handle_metrics_request);
    }
    if (!opened) {
        return opened;
    }
    environment_.log.write(started_at_, line_priority::important, proxy_event::listening,
                           {{"host", settings_.self.host.value()},
                            {"data_centre", settings_.self.data_centre.value()},
                            {"callers", settings_.self.caller_address.value()}});
    if (settings_.safe_quota_start) {
        environment_.quota.begin_start(started_at_);
    }
    store_watch_->start();
    if (settings_.safe_quota_start) {
        find_own_row();
    }
    else {
        register_self();
    }
    update_fleet_size(started_at_);
    tick();
    return {};
}

void proxy_host::schedule(one_shot_timer& delay_timer, milliseconds delay, void (proxy_host::*callback)())
{
    delay_timer.start(delay, [this, callback] { (this->*callback)(); });
}

// An unexpected error ends its own request, with a status that leaves open whether it has run.
void proxy_host::handle_safely(const std::shared_ptr<caller_exchange>& exchange,
                               void (proxy_host::*handler)(const std::shared_ptr<caller_exchange>&))
{
    try {
        (this->*handler)(exchange);
    }
    catch (const std::exception& error) {
        environment_.metrics.record_handler_failure();
        environment_.log.write(environment_.clock(), line_priority::important, proxy_event::handler_failed,
                               {{"request", std::string{to_view(exchange->request()[settings_.names.request_id])}},
                                {"detail", error.what()}});
        exchange->respond({502, {}, {}, false});
    }
}

void proxy_host::handle_request(const std::shared_ptr<caller_exchange>& exchange)
{
    const auto now = environment_.clock();
    load_.record_request(now);
    loop_monitor_->on_request(now);
    if (environment_.loop_delay.is_late()) {
        begin_after_ready_work(context_, exchange,
                               [this](const auto& ready) { handle_safely(ready, &proxy_host::begin_request); });
        return;
    }
    begin_request(exchange);
}

void proxy_host::begin_request(const std::shared_ptr<caller_exchange>& exchange)
{
    std::make_shared<request_handler>(environment_, exchange)->start();
}

void proxy_host::refuse_for_memory(const std::shared_ptr<caller_exchange>& exchange)
{
    const auto now = environment_.clock();
    const std::string id{to_view(exchange->request()[settings_.names.request_id])};
    environment_.log.write(now, line_priority::important, proxy_event::request_refused,
                           {{"request", id},
                            {"status", "503"},
                            {"reason", "memory"},
                            {"used_bytes", std::to_string(environment_.memory->used())},
                            {"elapsed_ms", kernel::to_milliseconds_text(now - exchange->received_at())}});
    environment_.metrics.record_request({}, "memory", now - exchange->received_at());
    caller_response response{503, {{"Retry-After", "1"}}, {}, true};
    if (!id.empty()) {
        response.headers.emplace_back(settings_.names.request_id, id);
    }
    exchange->respond(std::move(response));
}

// Requests for the host's own pages match no route; they are answered at once anyway.
bool proxy_host::is_repeatable(const http_request& request) const
{
    if (!environment_.routing) {
        return false;
    }
    const auto* route = find_route(*environment_.routing, request);
    return route != nullptr && route->semantics == route_semantics::idempotent;
}

void proxy_host::handle_readiness_request(const std::shared_ptr<caller_exchange>& exchange)
{
    update_readiness(environment_.clock());
    const bool path_matches = path_of(to_view(exchange->request().target())) == settings_.names.readiness_path;
    exchange->respond({path_matches ? (ready_ ? 200U : 503U) : 404U, {}, {}, false});
}

void proxy_host::handle_addresses_request(const std::shared_ptr<caller_exchange>& exchange)
{
    const auto target = to_view(exchange->request().target());
    if (path_of(target) != settings_.names.address_path) {
        exchange->respond({404, {}, {}, false});
        return;
    }
    const auto now = environment_.clock();
    update_readiness(now);
    const auto requested = query_parameter(target, settings_.names.data_centre_parameter);
    const auto data_centre =
        requested.empty() ? settings_.self.data_centre : kernel::data_centre_name{std::string{requested}};
    const auto ttl = std::min(default_address_ttl, settings_.reloadable.maximum_address_ttl);
    exchange->respond({200,
                       {{"Content-Type", "application/json"}},
                       settings_.render_addresses(peers_.caller_addresses_for(data_centre, now), ttl),
                       false});
}

void proxy_host::handle_metrics_request(const std::shared_ptr<caller_exchange>& exchange)
{
    update_gauges(environment_.clock());
    exchange->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, environment_.metrics.render(), false});
}

caller_limits proxy_host::current_limits(kernel::time_point now) const
{
    auto limits = environment_.routing ? environment_.routing->configuration().limits : caller_limits{};
    if (now < previous_idle_timeout_end_) {
        limits.idle_timeout = std::max(limits.idle_timeout, previous_idle_timeout_);
    }
    return limits;
}

void proxy_host::update_gauges(kernel::time_point now)
{
    auto& metrics = environment_.metrics;
    std::map<std::string_view, std::size_t> states{{"trusted", 0}, {"trial", 0}, {"suspected", 0}, {"leaving", 0}};
    for (const auto& [id, upstream] : environment_.upstreams.all()) {
        ++states[upstream.draining ? "leaving" : to_name(upstream.health.state(now))];
    }
    for (const auto& [state, count] : states) {
        metrics.set_upstreams(state, count);
    }
    const auto& all = environment_.upstreams.all();
    metrics.set_cold_upstreams(static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [now](const auto& entry) { return entry.second.cold.is_cold(now); })));
    for (const auto& [service, plan] : environment_.balancer.spillover().plans()) {
        metrics.set_placement(service, plan.decision, plan.inputs, now);
    }
    if (environment_.routing) {
        const auto age = environment_.freshness.age(now).value_or(now - started_at_);
        metrics.set_configuration(environment_.routing->version(), age,
                                  environment_.routing->configuration().faults.size());
    }
    metrics.set_configuration_not_applicable(store_watch_->lacks_newest_version());
    metrics.set_quota_starting(environment_.quota.is_starting(now));
    metrics.set_message_memory(environment_.memory->used(), environment_.memory->capacity());
    metrics.set_store_era(store_watch_->era());
    metrics.set_dropped_log_lines(environment_.log.dropped_lines());
    const auto& traffic = peer_channel_->traffic();
    metrics.set_peer_traffic("sent", traffic.sent, traffic.sent_bytes);
    metrics.set_peer_traffic("dropped", traffic.dropped, traffic.dropped_bytes);
    metrics.set_peer_traffic("received", traffic.received, traffic.received_bytes);
    for (const auto& [service, queue] : environment_.queues) {
        metrics.set_left_unused(service, environment_.balancer.summarize(service, now).left_unused);
    }
    for (const auto& state : environment_.admission.shedding_states(now)) {
        metrics.set_admission(state.service, state.accepted_fraction, state.limit_factor);
        metrics.set_less_urgent_weight(state.service, environment_.results.less_urgent_weight(state.service));
    }
    update_evacuation_gauges(now);
}

// A data centre that is no longer evacuated keeps its gauges, so that their last values are not mistaken for the
// present ones.
void proxy_host::update_evacuation_gauges(kernel::time_point now)
{
    const auto& evacuated = environment_.evacuated;
    const auto data_centres = evacuated.data_centres();
    evacuated_before_.insert(data_centres.begin(), data_centres.end());
    std::map<kernel::data_centre_name, std::size_t> in_flight;
    for (const auto* handler : environment_.active_requests) {
        handler->count_in_flight(in_flight);
    }
    for (const auto& data_centre : evacuated_before_) {
        environment_.metrics.set_evacuation(data_centre, evacuated.contains(data_centre), in_flight[data_centre]);
    }
    if (const auto age = evacuated.age(now)) {
        environment_.metrics.set_evacuations_age(*age);
    }
}

// Waiting requests that no upstream can serve any more are refused at once; others may have new upstreams.
void proxy_host::on_evacuations_changed()
{
    const auto now = environment_.clock();
    report_evacuations(now);
    for (auto& [service, queue] : environment_.queues) {
        queue.dispatch_all(now);
    }
}

void proxy_host::report_evacuations(kernel::time_point now)
{
    for (const auto& line : evacuation_report_.update(environment_.evacuated.data_centres(), data_centres(now))) {
        environment_.log.write(now, line_priority::important, line.event, {{"data_centre", line.data_centre.value()}});
    }
}

known_data_centres proxy_host::data_centres(kernel::time_point now) const
{
    known_data_centres known;
    known.complete = !is_discovering_peers(now) && store_watch_->has_upstreams();
    for (const auto& [id, upstream] : environment_.upstreams.all()) {
        known.with_upstreams.insert(upstream.record.data_centre);
    }
    known.all = known.with_upstreams;
    known.all.insert(settings_.self.data_centre);
    const auto of_hosts = peers_.data_centres();
    known.all.insert(of_hosts.begin(), of_hosts.end());
    return known;
}

void proxy_host::apply(traffic_configuration configuration)
{
    const auto now = environment_.clock();
    const auto version = configuration.version;
    if (environment_.routing && version <= environment_.routing->version()) {
        return;
    }
    const bool lowers_idle_timeout =
        environment_.routing &&
        configuration.limits.idle_timeout < environment_.routing->configuration().limits.idle_timeout;
    if (lowers_idle_timeout) {
        previous_idle_timeout_ = current_limits(now).idle_timeout;
        previous_idle_timeout_end_ = now + environment_.age_limits.definitive_refusal;
    }
    environment_.routing = routing_table::create(std::move(configuration));
    const auto& applied = environment_.routing->configuration();
    environment_.quota.configure(applied.customers, now);
    environment_.balancer.cold_limit().set_services(applied.services);
    environment_.log.write(now, line_priority::important, proxy_event::configuration_applied,
                           {{"version", std::to_string(version.value())},
                            {"routes", std::to_string(applied.routes.size())},
                            {"idle_timeout_ms", std::to_string(applied.limits.idle_timeout.count())},
                            {"faults", std::to_string(applied.faults.size())}});
    const auto logged = std::min(applied.faults.size(), maximum_logged_faults);
    for (std::size_t index = 0; index < logged; ++index) {
        const auto& fault = applied.faults[index];
        environment_.log.write(now, line_priority::important, proxy_event::configuration_object_invalid,
                               {{"version", std::to_string(version.value())},
                                {"reason", std::string{fault.name()}},
                                {"object", fault.subject()}});
    }
}

void proxy_host::on_directory_change(const upstream_record& record, directory_change change)
{
    if (change == directory_change::limit_changed) {
        const auto now = environment_.clock();
        const auto limit = environment_.upstreams.find(record.id)->rate_limit.per_second(now);
        environment_.log.write(now, line_priority::important, proxy_event::upstream_limit_changed,
                               {{"upstream", record.id.value()},
                                {"service", record.service.value()},
                                {"per_second", limit ? std::to_string(*limit) : std::string{}}});
        return;
    }
    if (change == directory_change::cold_changed) {
        log_cold_change(record, environment_.clock());
        return;
    }
    environment_.log.write(environment_.clock(), line_priority::important, event_of(change),
                           {{"upstream", record.id.value()},
                            {"service", record.service.value()},
                            {"address", record.address.value()},
                            {"change", std::string{to_text(change)}},
                            {"source", std::string{source_of(record.id, change)}}});
    if (change == directory_change::draining || change == directory_change::removed) {
        environment_.connections.close_all(record.id);
    }
}

// An upstream is added and removed by its entry alone.
std::string_view proxy_host::source_of(const kernel::upstream_name& id, directory_change change)
{
    if (change != directory_change::draining) {
        return to_name(leaving_source::entry);
    }
    return to_name(environment_.upstreams.find(id)->left_by);
}

// Upstreams are cold in any deployment; only a limit of their requests makes it worth a line.
void proxy_host::log_cold_change(const upstream_record& record, kernel::time_point now)
{
    if (!environment_.balancer.cold_limit().applies_to(record.service)) {
        return;
    }
    const auto& cold = environment_.upstreams.find(record.id)->cold;
    environment_.log.write(now, line_priority::important, proxy_event::upstream_cold_changed,
                           {{"upstream", record.id.value()},
                            {"service", record.service.value()},
                            {"cold", cold.is_cold(now) ? "yes" : "no"},
                            {"left_ms", kernel::to_milliseconds_text(cold.remaining(now))}});
}

void proxy_host::on_peer_message(const kernel::result<peer_message>& received)
{
    const auto now = environment_.clock();
    if (!received) {
        environment_.log.write(now, line_priority::routine, proxy_event::peer_message_unreadable,
                               {{"detail", received.error().subject()}});
        return;
    }
    const auto change = peers_.record_state(received->sender, received->state, now);
    if (change.was_silent) {
        environment_.log.write(now, line_priority::routine, proxy_event::peer_heard,
                               {{"host", received->sender.host.value()}});
    }
    if (change.new_process) {
        send_levels(received->sender, now);
        if (environment_.quota.is_starting(now)) {
            update_start_knowledge(now);
        }
    }
    if (received->levels && is_discovering_peers(now)) {
        environment_.quota.apply_remote_levels(*received->levels, now);
    }
    for (const auto& [customer, count] : change.newly_admitted) {
        environment_.quota.record_remote_admissions(customer, count, now,
                                                    received->sender.data_centre == settings_.self.data_centre);
    }
    if (received->results) {
        environment_.results.record_remote(received->sender.host, *received->results, now);
        environment_.balancer.spillover().record_report(received->sender.host, received->sender.data_centre,
                                                        received->supply.value_or(service_supplies{}), now);
    }
    if (received->sender.data_centre == settings_.self.data_centre) {
        if (received->document) {
            on_document_part(*received->document, now);
        }
        if (received->relay) {
            store_watch_->on_relay(*received->relay);
        }
    }
    const bool from_other_data_centre = received->sender.data_centre != settings_.self.data_centre;
    if (from_other_data_centre && !received->evidence.empty() && peers_.forwards_for(received->sender.host, now)) {
        // Standby hosts receive no messages from other data centres, so this active host forwards the evidence to them.
        forwarded_evidence_.add(received->evidence, now, evidence_interval());
    }
    evidence_receiver_.apply(received->sender.host, received->evidence, active_, now);
}

// Only active hosts receive the admissions of all hosts, so only they know the fill levels of the buckets.
void proxy_host::send_levels(const host_record& recipient, kernel::time_point now)
{
    if (is_discovering_peers(now) || !peers_.is_active(now)) {
        return;
    }
    peer_channel_->send({settings_.self, own_state(), {}, std::nullopt, std::nullopt, environment_.quota.levels(now)},
                        {recipient.peer_address});
}

// The rows of a system that has run before are complete, so a restarted host needs neither to write its own row nor to
// wait for those of the others. It reads them at once, because quotas are refused until the number of hosts is known.
void proxy_host::find_own_row()
{
    store_.read_hosts([this](const auto& reading) {
        if (environment_.stop.stopping()) {
            return;
        }
        if (!reading) {
            schedule(hosts_timer_, registration_retry_interval, &proxy_host::find_own_row);
            return;
        }
        const auto& rows = reading->hosts;
        if (std::find(rows.begin(), rows.end(), settings_.self) == rows.end()) {
            register_self();
            return;
        }
        add_hosts(rows);
        schedule(hosts_timer_, host_read_interval, &proxy_host::read_hosts);
    });
}

void proxy_host::add_hosts(const std::vector<host_record>& rows)
{
    for (const auto& record : rows) {
        peers_.add(record);
    }
    set_start_fleet(rows);
    send_state(peers_.data_centre_peer_addresses());
}

void proxy_host::set_start_fleet(std::vector<host_record> rows)
{
    const auto now = environment_.clock();
    if (!environment_.quota.awaits_fleet(now)) {
        return;
    }
    const auto fleet = make_start_fleet(settings_.self, std::move(rows));
    environment_.quota.set_start_fleet(fleet, now);
    environment_.log.write(now, line_priority::important, proxy_event::quota_start,
                           {{"hosts", std::to_string(fleet.hosts)},
                            {"data_centre_hosts", std::to_string(fleet.data_centre_hosts)},
                            {"place", std::to_string(fleet.place)},
                            {"elapsed_ms", kernel::to_milliseconds_text(now - started_at_)}});
}

void proxy_host::register_self()
{
    store_.register_host(settings_.self, [this](const auto& result) {
        if (environment_.stop.stopping()) {
            return;
        }
        // A row that an older era took is lost.
        if (result && result->era >= store_watch_->era()) {
            schedule(hosts_timer_, first_host_read_delay, &proxy_host::read_hosts);
            return;
        }
        schedule(hosts_timer_, registration_retry_interval, &proxy_host::register_self);
    });
}

void proxy_host::read_hosts()
{
    store_.read_hosts([this](const auto& reading) {
        if (environment_.stop.stopping()) {
            return;
        }
        const bool current = reading && reading->metadata.era >= store_watch_->era();
        if (current) {
            add_hosts(reading->hosts);
        }
        schedule(hosts_timer_, current ? host_read_interval : registration_retry_interval, &proxy_host::read_hosts);
    });
}

void proxy_host::tick()
{
    const auto now = environment_.clock();
    const auto until_next = loop_monitor_->on_timer(now, tick_interval);
    // First, so that a tick that fails does not end the next ones.
    schedule(tick_timer_, std::chrono::ceil<milliseconds>(until_next), &proxy_host::tick);
    give_way_if_late();
    update_own_load(now);
    update_readiness(now);
    update_fleet_size(now);
    peers_.set_reaches_store(!environment_.stop.stopping() && store_watch_->reaches_store(now));
    send_state_if_due(now);
    store_watch_->check_outage(now);
    const bool store_reader = is_store_reader(now);
    if (store_reader && !store_reader_) {
        store_watch_->begin_reading();
    }
    store_reader_ = store_reader;
    environment_.connections.close_expired(now);
    environment_.results.expire(now);
    environment_.balancer.spillover().expire(now);
    update_waiting_times();
    for (const auto& [service, queue] : environment_.queues) {
        environment_.serve_queue(service, now);
    }
    report_services(now);
    report_evacuations(now);
    report_spillover(now);
    environment_.log.flush(now);
}

void proxy_host::report_services(kernel::time_point now)
{
    if (now - services_reported_at_ < service_report_interval) {
        return;
    }
    services_reported_at_ = now;
    report_shedding(now);
    for (const auto& [service, queue] : environment_.queues) {
        const auto summary = environment_.balancer.summarize(service, now);
        const auto ended = static_cast<double>(summary.results.served + summary.results.unserved);
        if (static_cast<double>(summary.results.unserved) <= reported_unserved_fraction * ended) {
            continue;
        }
        environment_.log.write(
            now, line_priority::important, proxy_event::service_unserved,
            {{"service", service.value()},
             {"served", std::to_string(summary.results.served)},
             {"unserved", std::to_string(summary.results.unserved)},
             {"waiting", std::to_string(queue.size())},
             {"strained", summary.strained ? "yes" : "no"},
             {"trusted", std::to_string(summary.trusted)},
             {"trial", std::to_string(summary.on_trial)},
             {"suspected", std::to_string(summary.suspected)},
             {"limited", std::to_string(summary.limited)},
             {"cold", std::to_string(summary.cold)},
             {"missing", std::to_string(summary.missing)},
             {"evacuated", std::to_string(summary.evacuated)},
             {"stuck", std::to_string(summary.stuck)},
             {"slow", std::to_string(summary.slow)},
             {"used", std::to_string(summary.recently_used)},
             {"left_unused", std::to_string(summary.left_unused)},
             {"in_flight", std::to_string(summary.in_flight)},
             {"latency_ms", kernel::to_milliseconds_text(environment_.balancer.service_latency(service))}});
    }
}

void proxy_host::report_shedding(kernel::time_point now)
{
    for (const auto& change : environment_.admission.take_shedding_changes(now)) {
        environment_.log.write(now, line_priority::important, proxy_event::service_shedding,
                               {{"service", change.service.value()},
                                {"shedding", change.shedding ? "yes" : "no"},
                                {"with_load", change.congested ? "yes" : "no"},
                                {"accepted", std::to_string(change.accepted_fraction)},
                                {"limit_factor", std::to_string(change.limit_factor)}});
    }
}

void proxy_host::update_waiting_times()
{
    auto& balancer = environment_.balancer;
    for (const auto& [service, queue] : environment_.queues) {
        const queue_state state{balancer.service_latency(service), queue.size(), balancer.requests_in_flight(service)};
        balancer.spillover().set_waiting(service, queue.size() == 0 ? kernel::duration::zero() : expected_wait(state));
    }
}

service_supplies proxy_host::own_supplies(kernel::time_point now)
{
    service_supplies supplies;
    if (!environment_.routing) {
        return supplies;
    }
    for (const auto& service : environment_.routing->configuration().services) {
        if (supplies.size() == maximum_reported_supplies) {
            break;
        }
        const auto slots = environment_.balancer.healthy_slots(service.name, now);
        const auto own = slots.find(settings_.self.data_centre);
        auto& supply = supplies[service.name];
        supply.healthy_slots = own == slots.end() ? 0 : own->second;
        if (environment_.results.local_counts(service.name, now).demand_ms > 0) {
            supply.waiting =
                std::chrono::duration_cast<milliseconds>(environment_.balancer.spillover().waiting(service.name));
        }
    }
    return supplies;
}

void proxy_host::report_spillover(kernel::time_point now)
{
    auto& spillover = environment_.balancer.spillover();
    for (const auto& service : spillover.take_changed(now)) {
        const auto& plan = spillover.plans().at(service);
        environment_.log.write(now, line_priority::important, proxy_event::spillover_changed,
                               {{"service", service.value()},
                                {"from", settings_.self.data_centre.value()},
                                {"leaving", std::to_string(plan.decision.leaving())},
                                {"to", shares_text(plan.decision)},
                                {"inputs", inputs_text(plan.inputs, now)}});
    }
}

void proxy_host::update_readiness(kernel::time_point now)
{
    const auto age = environment_.freshness.age(now);
    const bool ready = !environment_.stop.stopping() && environment_.routing && store_watch_->has_upstreams() && age &&
                       *age <= maximum_ready_age;
    if (ready == ready_) {
        return;
    }
    ready_ = ready;
    peers_.set_ready(ready);
    environment_.log.write(now, line_priority::important, proxy_event::readiness_changed,
                           {{"ready", ready ? "yes" : "no"},
                            {"stopping", environment_.stop.stopping() ? "yes" : "no"},
                            {"age_ms", age ? kernel::to_milliseconds_text(*age) : "unknown"}});
    // Without this message the other hosts could not tell a stopping host from one that has lost its network.
    send_state(active_ ? peers_.all_peer_addresses() : peers_.recipient_addresses(now));
}

// Right after the start a host has received no messages, and would consider itself the first of its data centre.
bool proxy_host::is_discovering_peers(kernel::time_point now) const
{
    return now - started_at_ < discovery_time;
}

// Work that can wait gives way to requests and responses while the event loop is late.
void proxy_host::give_way_if_late()
{
    environment_.log.set_routine_paused(environment_.loop_delay.is_late());
}

void proxy_host::flush_later(one_shot_timer& delay_timer, evidence_outbox& outbox, kernel::duration delay)
{
    delay_timer.start(delay, [this, &outbox] { outbox.flush(environment_.clock()); });
}

kernel::duration proxy_host::evidence_interval() const
{
    return environment_.loop_delay.is_late() ? tick_interval : evidence_outbox::usual_interval;
}

void proxy_host::update_own_load(kernel::time_point now)
{
    const auto delay = environment_.loop_delay.reported(now);
    peers_.set_load(load_.value(now));
    peers_.set_delay(delay);
    peers_.remember_demand(now);
    update_expected_demand(now);
    membership_report_.update({peers_.active_host_count(now), peers_.remembered_demand(now), delay}, now);
}

void proxy_host::update_expected_demand(kernel::time_point now)
{
    std::size_t slots = 0;
    for (const auto& [id, upstream] : environment_.upstreams.all()) {
        slots += upstream.record.slots;
    }
    peers_.set_expected_demand(forecast_demand(now - started_at_, slots, peers_.data_centres().size()));
}

bool proxy_host::is_store_reader(kernel::time_point now) const
{
    return now - started_at_ >= reader_discovery_time && peers_.is_store_reader(now);
}

// Place of this host among all known hosts in the order of their names.
std::size_t proxy_host::name_index() const
{
    return static_cast<std::size_t>(
        std::count_if(peers_.peers().begin(), peers_.peers().end(),
                      [this](const auto& peer) { return peer.first < settings_.self.host; }));
}

milliseconds proxy_host::store_retry_delay(kernel::time_point now) const
{
    return peers_.is_store_reached_nearby(now) ? milliseconds{0}
                                               : outage_retry_delay(peers_.position_in_data_centre(now));
}

void proxy_host::update_fleet_size(kernel::time_point now)
{
    const bool discovering = is_discovering_peers(now);
    const auto expected = peers_.expected_active_hosts(now);
    const auto hosts = discovering ? std::max(expected, assumed_active_hosts) : expected;
    environment_.balancer.set_active_position(peers_.position(now), now);
    const bool all_report = !discovering && !peers_.has_newly_silent_peer(now);
    // Restarted hosts are in use by callers with cached addresses, although they are not active.
    const auto starting = environment_.quota.is_starting(now) ? peers_.starting_hosts(now) : 0;
    const auto sharing =
        discovering ? std::max(peers_.quota_share_divisor(now), hosts) : peers_.quota_share_divisor(now);
    environment_.quota.set_active_host_count(sharing + starting, all_report);
    update_start_knowledge(now);
    const auto all = peers_.peers().size() + 1;
    environment_.retry_budget.set_slack_fraction(
        slack_fraction({peers_.is_active(now), hosts, all - std::min(all, hosts), now - started_at_, name_index(),
                        settings_.reloadable.retries.slack}));
}

void proxy_host::update_start_knowledge(kernel::time_point now)
{
    const bool all_report = !is_discovering_peers(now) && !peers_.has_newly_silent_peer(now);
    environment_.quota.set_start_knowledge({peers_.hears_data_centre(), all_report && peers_.is_active(now)});
}

// A host that becomes active sends its state to all hosts, because standby hosts send none to other data centres.
void proxy_host::send_state_if_due(kernel::time_point now)
{
    const bool active = !is_discovering_peers(now) && peers_.is_active(now);
    if (active && !active_) {
        send_state(peers_.all_peer_addresses());
    }
    else if (now - state_sent_at_ >= (active ? active_state_interval : standby_state_interval)) {
        send_state(peers_.recipient_addresses(now));
    }
    active_ = active;
}

void proxy_host::report_admissions()
{
    const auto now = environment_.clock();
    if (now - state_sent_at_ >= urgent_report_interval && environment_.quota.report_is_urgent(now)) {
        send_state(peers_.recipient_addresses(now));
    }
}

void proxy_host::send_state(const std::vector<kernel::socket_address>& recipients)
{
    state_sent_at_ = environment_.clock();
    auto state = own_state();
    state.admitted = environment_.quota.admitted();
    peer_channel_->send({settings_.self,
                         std::move(state),
                         {},
                         std::nullopt,
                         environment_.results.local_report(state_sent_at_),
                         std::nullopt,
                         std::nullopt,
                         own_supplies(state_sent_at_)},
                        recipients);
    environment_.quota.mark_reported();
}

void proxy_host::send_evidence(const std::vector<kernel::socket_address>& recipients,
                               std::vector<shared_evidence> evidence)
{
    peer_channel_->send({settings_.self, own_state(), std::move(evidence), std::nullopt, std::nullopt, std::nullopt},
                        recipients);
}

// Returns the state without the admitted counts, which only `send_state` adds.
host_state proxy_host::own_state() const
{
    const auto now = environment_.clock();
    return {instance_,
            ready_,
            store_watch_->reaches_store(now),
            load_.value(now),
            {},
            environment_.quota.is_starting(now),
            environment_.loop_delay.reported(now)};
}

void proxy_host::send_relay(store_relay relay)
{
    const auto now = environment_.clock();
    peers_.set_reaches_store(store_watch_->reaches_store(now));
    if (!environment_.stop.stopping() && is_store_reader(now)) {
        relay.document_sent = document_sent_ == relay.version && document_sent_.value() > 0;
        peer_channel_->send({settings_.self, own_state(), {}, std::move(relay), std::nullopt, std::nullopt},
                            peers_.data_centre_peer_addresses());
    }
}

void proxy_host::send_document(kernel::version_number version, const std::string& document)
{
    const auto now = environment_.clock();
    peers_.set_reaches_store(store_watch_->reaches_store(now));
    if (environment_.stop.stopping() || !settings_.read_document || !is_store_reader(now)) {
        return;
    }
    const auto parts = split_document(settings_.self.host, version, document);
    for (const auto& part : parts) {
        forward(part, now);
    }
    if (!parts.empty()) {
        document_sent_ = version;
    }
}

void proxy_host::forward(const document_part& part, kernel::time_point now)
{
    peer_message message{settings_.self, own_state(), {}, std::nullopt, std::nullopt, std::nullopt};
    message.document = part;
    peer_channel_->send(message, peers_.forwarding_addresses(part.source, now));
}

void proxy_host::on_document_part(const document_part& part, kernel::time_point now)
{
    if (!environment_.routing || !settings_.read_document) {
        return;
    }
    const auto added = document_assembly_.add(part, environment_.routing->version());
    if (added.is_new) {
        forward(part, now);
    }
    if (!added.document) {
        return;
    }
    const auto configuration = settings_.read_document(*added.document);
    // Otherwise this host reads the version from the store, and reports what is wrong with it.
    if (configuration && configuration->version == part.version) {
        store_watch_->on_document(*configuration);
    }
}

void proxy_host::begin_stop()
{
    if (environment_.stop.stopping()) {
        return;
    }
    const auto now = environment_.clock();
    environment_.stop.begin(now, settings_.reloadable.stop_grace_period);
    environment_.log.write(now, line_priority::important, proxy_event::stop_requested,
                           {{"in_flight", std::to_string(environment_.active_requests.size())}});
    update_readiness(now);
    continue_stop();
}

// Callers cache addresses, so the host accepts their connections until shortly before it is killed.
void proxy_host::continue_stop()
{
    const auto now = environment_.clock();
    if (!environment_.stop.accepts_connections(now)) {
        caller_listener_->stop_accepting();
        caller_listener_->close_idle_connections();
        const bool idle = environment_.active_requests.empty() && caller_listener_->connection_count() == 0;
        if (idle || requests_expired_) {
            finish_stop(now);
            return;
        }
        if (environment_.stop.must_end(now)) {
            expire_requests(now);
        }
    }
    schedule(stop_timer_, stop_check_interval, &proxy_host::continue_stop);
}

// Sends every waiting caller a response that leaves the outcome open, instead of closing its connection without one.
void proxy_host::expire_requests(kernel::time_point now)
{
    requests_expired_ = true;
    // The pointers keep each handler alive until it has responded.
    std::vector<std::shared_ptr<request_handler>> handlers;
    for (auto* handler : environment_.active_requests) {
        handlers.push_back(handler->shared_from_this());
    }
    environment_.log.write(now, line_priority::important, proxy_event::requests_given_up,
                           {{"in_flight", std::to_string(handlers.size())}});
    for (const auto& handler : handlers) {
        handler->expire();
    }
}

void proxy_host::finish_stop(kernel::time_point now)
{
    environment_.log.write(now, line_priority::important, proxy_event::stopped,
                           {{"in_flight", std::to_string(environment_.active_requests.size())}});
    environment_.log.flush(now);
    store_watch_->stop();
    store_.stop();
    context_.stop();
}

} // namespace wisterialane::proxy
