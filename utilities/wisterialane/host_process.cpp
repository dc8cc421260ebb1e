#include "utilities/wisterialane/host_process.h"

#include "kernel/random_id.h"
#include "services/claim_service.h"
#include "services/configuration_service.h"
#include "services/gateway_service.h"
#include "services/health_configuration.h"
#include "services/health_service.h"
#include "services/limit_service.h"
#include "services/metrics_service.h"
#include "services/operator_service.h"
#include "services/peer_service.h"
#include "services/status_page.h"

#include <thread>
#include <unordered_set>
#include <utility>
#include <vector>

namespace wisterialane {
namespace {

using namespace services;

constexpr std::size_t instance_id_digits = 16;
constexpr std::chrono::milliseconds poll_interval{20};

http::buffered_response make_page(std::string content_type, std::string body)
{
    http::buffered_response response;
    response.head.headers.add("Content-Type", std::move(content_type));
    response.body = std::move(body);
    return response;
}

// The host list names upstreams by address, the configuration by name.
std::unordered_set<kernel::upstream_name> find_upstreams_at(const configuration::configuration_set& set,
                                                            const std::vector<kernel::socket_address>& listed_addresses)
{
    const std::unordered_set<kernel::socket_address> addresses{listed_addresses.begin(), listed_addresses.end()};
    std::unordered_set<kernel::upstream_name> names;
    for (const auto& reference : set.list()) {
        if (reference.kind != configuration::object_kind::upstream) {
            continue;
        }
        const auto* upstream = set.find_upstream(kernel::upstream_name{reference.name});
        if (addresses.count(upstream->address) > 0) {
            names.insert(upstream->name);
        }
    }
    return names;
}

std::size_t count_ejected(const health_service& health)
{
    std::size_t ejected = 0;
    for (const auto& service : health.snapshot()) {
        for (const auto& upstream : service.upstreams) {
            ejected += upstream.condition == health::upstream_condition::ejected ? 1 : 0;
        }
    }
    return ejected;
}

} // namespace

kernel::result<std::unique_ptr<host_process>> host_process::create(const settings::host_settings& settings)
{
    auto platform = platform::http_platform::create({settings.platform_address, settings.platform_timeout});
    if (!platform) {
        return tl::unexpected{platform.error()};
    }
    auto created = std::unique_ptr<host_process>{new host_process{settings, std::move(*platform)}};
    if (auto added = created->add_services(); !added) {
        return tl::unexpected{added.error()};
    }
    return created;
}

host_process::host_process(settings::host_settings settings, std::unique_ptr<platform::http_platform> platform)
    : settings_{std::move(settings)}, clock_{kernel::boot_clock::now},
      instance_{kernel::random_hex(instance_id_digits)}, platform_{std::move(platform)}
{}

kernel::result<void> host_process::add_services()
{
    return add_configuration_services().and_then([this] { return add_request_services(); }).and_then([this] {
        return add_operator_service();
    });
}

kernel::result<void> host_process::add_configuration_services()
{
    configuration_service_settings configuration;
    configuration.self = {instance_,
                          settings_.host,
                          settings_.data_centre,
                          settings_.caller_address,
                          settings_.operator_address,
                          settings_.peer_address};
    auto new_configuration_service = std::make_unique<configuration_service>(
        configuration, platform_->tables(), platform_->objects(), platform_->hosts(), clock_);
    peer_service_settings peers;
    peers.listen_address = settings_.peer_address;
    peers.secret = peers::fleet_secret{settings_.fleet_secret};
    peers.seeds = settings_.seed_peers;
    auto new_peer_service = std::make_unique<peer_service>(peers, *new_configuration_service, clock_);
    return registry_.add(std::move(new_configuration_service)).and_then([&] {
        return registry_.add(std::move(new_peer_service));
    });
}

kernel::result<void> host_process::add_request_services()
{
    auto& configuration = *registry_.find<configuration_service>(configuration_service::service_name);
    const auto request_loans_from = [this](const configuration::roster_entry& lender,
                                           const std::vector<limits::loan_request>& requests) {
        return registry_.find<peer_service>(peer_service::service_name)->request_loans(lender, requests);
    };
    auto health = std::make_unique<health_service>(instance_, clock_);
    follow_configuration(*health, configuration, clock_);
    auto limits = std::make_unique<limit_service>(instance_, configuration, clock_, request_loans_from);
    gateway_service_settings gateway;
    gateway.listen = {settings_.caller_address, settings_.caller_threads, settings_.caller_read_timeout,
                      settings_.caller_idle_timeout};
    gateway.instance = instance_;
    gateway.data_centre = settings_.data_centre;
    gateway.address_keep = settings_.address_keep;
    gateway.upstream_idle = settings_.upstream_idle_timeout;
    auto added =
        registry_.add(std::move(health))
            .and_then([&] { return registry_.add(std::move(limits)); })
            .and_then([&] { return registry_.add(std::make_unique<claim_service>(platform_->tables())); })
            .and_then([&] { return registry_.add(std::make_unique<metrics_service>()); })
            .and_then([&] { return registry_.add(std::make_unique<gateway_service>(gateway, registry_, clock_)); });
    if (added) {
        connect_peers();
        connect_draining_upstreams();
        add_gauges();
    }
    return added;
}

void host_process::connect_peers()
{
    auto& peers = *registry_.find<peer_service>(peer_service::service_name);
    auto& health = *registry_.find<health_service>(health_service::service_name);
    auto& limits = *registry_.find<limit_service>("limits");
    peers.set_evidence_source([this, &health] { return health.make_report(clock_()); });
    peers.set_evidence_sink(
        [&health](const health::evidence_report& report, kernel::time_point now) { health.merge_report(report, now); });
    peers.set_loan_handler(
        [this, &limits](const kernel::instance_id& borrower, const std::vector<limits::loan_request>& requests) {
            return limits.handle_loan_requests(borrower, requests, clock_());
        });
}

void host_process::connect_draining_upstreams()
{
    auto& configuration = *registry_.find<configuration_service>(configuration_service::service_name);
    auto& health = *registry_.find<health_service>(health_service::service_name);
    configuration.set_leaving_listener([this, &configuration, &health](const leaving_hosts& leaving) {
        std::unordered_set<kernel::upstream_name> draining;
        // The search is linear in the size of the configuration, so it is skipped when no upstream is draining.
        if (!leaving.upstreams.empty()) {
            configuration.read([&](const configuration::configuration_set& set) {
                draining = find_upstreams_at(set, leaving.upstreams);
            });
        }
        health.set_leaving(draining, clock_());
    });
}

void host_process::add_gauges()
{
    auto& metrics = *registry_.find<metrics_service>("metrics");
    auto& configuration = *registry_.find<configuration_service>(configuration_service::service_name);
    auto& gateway = *registry_.find<gateway_service>(gateway_service::service_name);
    auto& health = *registry_.find<health_service>(health_service::service_name);
    auto& limits = *registry_.find<limit_service>("limits");
    auto& peers = *registry_.find<peer_service>(peer_service::service_name);
    const auto add = [&metrics](const std::string& name, const std::string& help, const auto& read) {
        metrics.add_gauge("wisterialane_" + name, help, [read] { return static_cast<double>(read()); });
    };
    add("requests_in_flight", "Requests being served.", [&gateway] { return gateway.in_flight(); });
    add("requests_waiting", "Requests waiting for an upstream.", [&gateway] { return gateway.waiting(); });
    add("configuration_version", "Version in force.", [&configuration] { return configuration.version().value(); });
    add("configuration_fresh", "1 if keyed routes may be served.", [this, &configuration] {
        return configuration.freshness_at(clock_()) == configuration::freshness::fresh ? 1 : 0;
    });
    add("platform_answers", "1 if the platform has answered a poll lately.",
        [this, &configuration] { return configuration.platform_answers(clock_()) ? 1 : 0; });
    add("active_customers", "Customers with rate state on this host.", [&limits] { return limits.active_customers(); });
    add("peer_bytes_sent", "Bytes sent to other hosts since the start.",
        [&peers] { return peers.traffic().bytes_sent; });
    add("peer_bytes_received", "Bytes received from other hosts since the start.",
        [&peers] { return peers.traffic().bytes_received; });
    add("upstreams_ejected", "Upstreams that this host has ejected now.", [&health] { return count_ejected(health); });
}

kernel::result<void> host_process::add_operator_service()
{
    auto& configuration = *registry_.find<configuration_service>(configuration_service::service_name);
    operator_service_settings operators;
    operators.server.address = settings_.operator_address;
    operators.server.threads = settings_.operator_threads;
    for (const auto& credential : settings_.operators) {
        operators.operators.push_back(credential.name.value() + ":" + credential.token_digest);
    }
    operators.pages["/v1/status"] = [this] {
        return make_page("application/json", render_status(registry_, clock_()));
    };
    operators.pages["/metrics"] = [this] {
        auto& metrics = *registry_.find<metrics_service>("metrics");
        return make_page("text/plain; version=0.0.4", metrics.render(clock_()));
    };
    auto created =
        operator_service::create(configuration, platform_->tables(), platform_->objects(), std::move(operators));
    if (!created) {
        return tl::unexpected{created.error()};
    }
    return registry_.add(std::move(*created));
}

kernel::result<void> host_process::start()
{
    return registry_.start_all();
}

bool host_process::wait_for_configuration(const std::function<bool()>& stop_requested) const
{
    const auto& configuration = *registry_.find<configuration_service>(configuration_service::service_name);
    const auto deadline = clock_() + settings_.start_timeout;
    while (!stop_requested()) {
        const auto now = clock_();
        if (configuration.platform_answers(now) || configuration.version().value() > 0) {
            return true;
        }
        if (now >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

void host_process::drain_and_stop()
{
    registry_.find<gateway_service>(gateway_service::service_name)->begin_draining();
    registry_.find<peer_service>(peer_service::service_name)->begin_draining();
    std::this_thread::sleep_for(settings_.drain);
    stop();
}

void host_process::stop()
{
    registry_.stop_all();
}

} // namespace wisterialane
