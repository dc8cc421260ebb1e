#include "libraries/proxy/request_admission.h"

#include "libraries/proxy/admission/late_loop.h"
#include "libraries/proxy/message_headers.h"
#include "libraries/proxy/proxy_events.h"

#include <algorithm>

namespace wisterialane::proxy {
namespace {

using kernel::line_priority;
using milliseconds = std::chrono::milliseconds;

/// Time for sending the response to the caller, with a margin.
constexpr milliseconds response_reserve{25};
/// Retry-After of requests that are refused because the configuration is missing or stale.
constexpr milliseconds stale_configuration_retry_after{1000};
/// Retry-After of requests that need an invalid object of the configuration; operators have to correct it.
constexpr milliseconds invalid_configuration_retry_after{5000};
/// Retry-After of requests that are refused because this host has not read the table of hosts since its start.
constexpr milliseconds unknown_quota_retry_after{200};
/// Retry-After of requests that are refused because this host stops; the other hosts take them at once.
constexpr milliseconds stopping_retry_after{100};
/// Part of the bound on key revocation that is reserved for sending a request to its upstream.
constexpr milliseconds key_revocation_margin{500};

} // namespace

const traffic_route* find_route(const routing_table& table, const http_request& request)
{
    const auto host = normalize_host_name(to_view(request[boost::beast::http::field::host]));
    return table.find_route(host, path_of(to_view(request.target())));
}

tl::expected<void, refusal> request_admission::admit(kernel::time_point now)
{
    if (const auto found = find_route(now); !found) {
        return found;
    }
    if (const auto known = authenticate(now); !known) {
        return known;
    }
    set_deadline();
    if (now >= context_.response_deadline) {
        return tl::unexpected{refusal{503, "no_time_left", std::nullopt}};
    }
    if (const auto harmless = check_quarantine(now); !harmless) {
        return harmless;
    }
    return choose_service(now);
}

// Refuses a request that has crashed several upstreams, because it would crash the next one as well.
request_admission::check request_admission::check_quarantine(kernel::time_point now)
{
    context_.fingerprint = fingerprint_of(request_, context_.customer_name());
    if (!environment_.quarantine.is_quarantined(context_.fingerprint, now)) {
        return {};
    }
    environment_.log.write(now, line_priority::important, proxy_event::request_blamed,
                           {{"request", context_.request_id}});
    return tl::unexpected{refusal{503, "quarantined", std::nullopt}};
}

request_admission::check request_admission::find_route(kernel::time_point now)
{
    context_.table = environment_.routing;
    if (!context_.table) {
        return tl::unexpected{refusal{503, "no_configuration", stale_configuration_retry_after}};
    }
    const auto target = to_view(request_.target());
    if (context_.request_id.empty() || target.empty() || target.front() != '/' ||
        request_.count(boost::beast::http::field::host) != 1) {
        return tl::unexpected{refusal{400, "malformed", std::nullopt}};
    }
    context_.route = proxy::find_route(*context_.table, request_);
    const bool unusable =
        context_.route != nullptr ? !context_.route->usable : context_.table->configuration().has_unknown_routes;
    if (unusable) {
        return tl::unexpected{refusal{503, "configuration_invalid", invalid_configuration_retry_after}};
    }
    if (context_.route != nullptr) {
        return {};
    }
    const auto age = environment_.freshness.age(now);
    if (!age || *age > environment_.age_limits.definitive_refusal) {
        return tl::unexpected{refusal{503, "configuration_stale", stale_configuration_retry_after}};
    }
    return tl::unexpected{refusal{404, "no_route", std::nullopt}};
}

request_admission::check request_admission::authenticate(kernel::time_point now)
{
    if (context_.route->access == configuration::route_access::open || !context_.table->requires_keys()) {
        return {};
    }
    const auto age = environment_.freshness.age(now);
    if (!age || *age + (now - context_.received_at) > environment_.age_limits.key_revocation - key_revocation_margin) {
        return tl::unexpected{refusal{503, "configuration_stale", stale_configuration_retry_after}};
    }
    const bool has_key = request_.count(environment_.names.key) == 1;
    if (has_key) {
        context_.customer = context_.table->find_customer(to_view(request_[environment_.names.key]));
    }
    const bool unusable = context_.customer != nullptr ? !context_.customer->usable
                                                       : has_key && context_.table->configuration().has_unknown_keys;
    if (unusable) {
        return tl::unexpected{refusal{503, "configuration_invalid", invalid_configuration_retry_after}};
    }
    if (context_.customer != nullptr) {
        return {};
    }
    if (*age > environment_.age_limits.definitive_refusal) {
        return tl::unexpected{refusal{503, "configuration_stale", stale_configuration_retry_after}};
    }
    return tl::unexpected{refusal{401, "unknown_key", std::nullopt}};
}

request_admission::check request_admission::choose_service(kernel::time_point now)
{
    if (!environment_.stop.accepts_request(context_.response_deadline)) {
        return tl::unexpected{refusal{503, "stopping", stopping_retry_after}};
    }
    context_.service = environment_.service_selector.next(*context_.route);
    const auto usual_latency = environment_.balancer.service_latency(context_.service);
    const auto remaining = context_.response_deadline - now;
    if (const auto wait = refusal_of_late_loop(environment_.loop_delay, usual_latency, remaining)) {
        return tl::unexpected{refusal{503, "host_late", *wait}};
    }
    if (context_.customer != nullptr) {
        if (environment_.quota.is_limited(context_.customer->name) && environment_.quota.awaits_fleet(now)) {
            return tl::unexpected{refusal{503, "quota_unknown", unknown_quota_retry_after}};
        }
        if (const auto wait = environment_.quota.admit(context_.customer->name, now)) {
            const auto retry_after = environment_.admission.schedule().after_limit(
                context_.customer->name, *wait, context_.customer->rate_per_second, now);
            return tl::unexpected{refusal{429, "rate", retry_after}};
        }
        if (environment_.report_admissions) {
            environment_.report_admissions();
        }
    }
    return {};
}

void request_admission::set_deadline()
{
    const auto caller_timeout = read_deadline(request_, environment_.names).value_or(context_.route->timeout);
    const kernel::duration timeout = std::min(caller_timeout, context_.route->timeout);
    context_.response_deadline =
        context_.received_at + timeout - response_reserve - late_loop_reserve(environment_.loop_delay, timeout);
}

} // namespace wisterialane::proxy
