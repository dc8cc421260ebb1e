#include "services/health_service.h"

#include "kernel/event_log.h"

#include <random>
#include <string>
#include <utility>

namespace wisterialane::services {
namespace {

health::random_source make_random_source()
{
    std::random_device seed;
    return [generator = std::mt19937_64{seed()}]() mutable { return generator(); };
}

kernel::severity severity_of(health::health_event event)
{
    switch (event) {
    case health::health_event::upstream_ejected:
    case health::health_event::upstream_avoided:
    case health::health_event::ejection_withheld:
    case health::health_event::fingerprint_quarantined:
        return kernel::severity::warning;
    default:
        return kernel::severity::information;
    }
}

} // namespace

health_service::health_service(kernel::instance_id own, kernel::clock_source clock)
    : clock_{std::move(clock)}, monitor_{std::move(own), make_random_source()}
{}

kernel::result<void> health_service::start()
{
    task_ = std::make_unique<kernel::periodic_task>([this] {
        advance();
        return health::health_monitor::advance_interval;
    });
    return {};
}

void health_service::stop()
{
    task_.reset();
}

void health_service::advance()
{
    std::vector<health::upstream_transition> transitions;
    {
        const std::scoped_lock lock{mutex_};
        monitor_.advance(clock_());
        transitions = monitor_.take_transitions();
    }
    log_transitions(transitions);
}

void health_service::log_transitions(const std::vector<health::upstream_transition>& transitions) const
{
    for (const auto& change : transitions) {
        const auto lasts = std::chrono::duration_cast<std::chrono::milliseconds>(change.lasts);
        kernel::log_event(severity_of(change.event), change.event,
                          {{"upstream", change.upstream.value()},
                           {"good", std::to_string(change.good)},
                           {"bad", std::to_string(change.bad)},
                           {"reporters", std::to_string(change.reporters)},
                           {"lasts_ms", std::to_string(lasts.count())}});
    }
}

void health_service::configure(const std::vector<health::service_definition>& services, kernel::time_point now)
{
    const std::scoped_lock lock{mutex_};
    monitor_.configure(services, now);
}

kernel::result<health::chosen_upstream>
health_service::choose(const kernel::service_name& target, const kernel::route_name& route,
                       const std::unordered_set<kernel::upstream_name>& excluded, kernel::time_point now)
{
    const std::scoped_lock lock{mutex_};
    return monitor_.choose(target, route, excluded, now);
}

void health_service::request_sent(health::choice_handle handle, kernel::time_point now)
{
    const std::scoped_lock lock{mutex_};
    monitor_.request_sent(handle, now);
}

void health_service::answer_started(health::choice_handle handle)
{
    const std::scoped_lock lock{mutex_};
    monitor_.answer_started(handle);
}

void health_service::finish(health::choice_handle handle, const health::outcome& result, kernel::time_point now)
{
    const std::scoped_lock lock{mutex_};
    monitor_.finish(handle, result, now);
}

void health_service::mark_leaving(const kernel::upstream_name& upstream, kernel::time_point now)
{
    const std::scoped_lock lock{mutex_};
    monitor_.mark_leaving(upstream, now);
}

void health_service::set_leaving(const std::unordered_set<kernel::upstream_name>& upstreams, kernel::time_point now)
{
    const std::scoped_lock lock{mutex_};
    monitor_.set_leaving(upstreams, now);
}

health::evidence_report health_service::make_report(kernel::time_point now)
{
    const std::scoped_lock lock{mutex_};
    return monitor_.make_report(now);
}

std::vector<health::evidence_report> health_service::make_reports(kernel::time_point now)
{
    const std::scoped_lock lock{mutex_};
    return monitor_.make_reports(now);
}

bool health_service::needs_evidence(kernel::time_point now) const
{
    const std::scoped_lock lock{mutex_};
    return monitor_.needs_evidence(now);
}

void health_service::merge_report(const health::evidence_report& report, kernel::time_point now)
{
    const std::scoped_lock lock{mutex_};
    monitor_.merge_report(report, now);
}

bool health_service::is_quarantined(std::uint64_t fingerprint, kernel::time_point now) const
{
    const std::scoped_lock lock{mutex_};
    return monitor_.is_quarantined(fingerprint, now);
}

std::vector<health::service_status> health_service::snapshot() const
{
    const std::scoped_lock lock{mutex_};
    return monitor_.status();
}

} // namespace wisterialane::services
