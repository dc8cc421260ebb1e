#include "services/status_page.h"

#include "services/configuration_service.h"
#include "services/gateway_service.h"
#include "services/health_service.h"
#include "services/limit_service.h"
#include "services/peer_service.h"

#include <chrono>
#include <string_view>

#include <nlohmann/json.hpp>

namespace wisterialane::services {
namespace {

using nlohmann::json;

double seconds(kernel::duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::string_view to_text(health::upstream_condition condition)
{
    switch (condition) {
    case health::upstream_condition::healthy:
        return "healthy";
    case health::upstream_condition::ejected:
        return "ejected";
    case health::upstream_condition::returning:
        return "returning";
    case health::upstream_condition::avoided:
        return "avoided";
    }
    return "unknown";
}

json describe_upstream(const health::upstream_status& upstream, kernel::time_point now)
{
    return {{"upstream", upstream.name.value()},
            {"condition", to_text(upstream.condition)},
            {"leaving", upstream.intake == health::upstream_intake::leaving},
            {"since_seconds", seconds(now - upstream.since)},
            {"weight", upstream.weight},
            {"good", upstream.good},
            {"bad", upstream.bad},
            {"reporters", upstream.reporters},
            {"ejections", upstream.ejections}};
}

json describe_services(const health_service& health, kernel::time_point now)
{
    auto services = json::array();
    for (const auto& service : health.snapshot()) {
        json entry{{"service", service.service.value()},
                   {"configured_slots", service.configured_slots},
                   {"usable_slots", service.usable_slots},
                   {"required_slots", service.required_slots},
                   {"upstreams", json::array()}};
        for (const auto& upstream : service.upstreams) {
            entry["upstreams"].push_back(describe_upstream(upstream, now));
        }
        services.push_back(std::move(entry));
    }
    return services;
}

json describe_hosts(const configuration_service& configuration, kernel::time_point now)
{
    auto hosts = json::array();
    for (const auto& host : configuration.live_hosts(now)) {
        hosts.push_back({{"host", host.host.value()},
                         {"data_centre", host.data_centre.value()},
                         {"caller_address", host.caller_address.value()}});
    }
    return hosts;
}

json describe_limited_customers(const limit_service& limits, kernel::time_point now)
{
    auto customers = json::array();
    for (const auto& refused : limits.recently_refused(now)) {
        customers.push_back({{"customer", refused.customer.value()},
                             {"refusals", refused.refusals},
                             {"last_refused_seconds_ago", seconds(now - refused.last_refused)}});
    }
    return customers;
}

} // namespace

std::string render_status(const kernel::service_registry& registry, kernel::time_point now)
{
    const auto& configuration = *registry.find<configuration_service>(configuration_service::service_name);
    const auto& health = *registry.find<health_service>(health_service::service_name);
    const auto& limits = *registry.find<limit_service>("limits");
    const auto& peers = *registry.find<peer_service>(peer_service::service_name);
    const auto& gateway = *registry.find<gateway_service>(gateway_service::service_name);
    const auto traffic = peers.traffic();
    const bool fresh = configuration.freshness_at(now) == configuration::freshness::fresh;
    const json status{
        {"host", configuration.self().host.value()},
        {"data_centre", configuration.self().data_centre.value()},
        {"version", configuration.version().value()},
        {"settled_version", configuration.settled_version(now).value()},
        {"freshness", fresh ? "fresh" : "stale"},
        {"hosts", configuration.current_roster().entries.size()},
        {"platform_answers", configuration.platform_answers(now)},
        {"requests_in_flight", gateway.in_flight()},
        {"live_hosts", describe_hosts(configuration, now)},
        {"services", describe_services(health, now)},
        {"limited_customers", describe_limited_customers(limits, now)},
        {"peers",
         {{"bytes_sent", traffic.bytes_sent},
          {"bytes_received", traffic.bytes_received},
          {"envelopes_dropped", traffic.envelopes_dropped},
          {"pulls_failed", traffic.pulls_failed}}},
    };
    return status.dump(2);
}

} // namespace wisterialane::services
