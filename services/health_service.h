#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "kernel/periodic_task.h"
#include "kernel/service.h"
#include "libraries/health/health_monitor.h"

#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace wisterialane::services {

/// Chooses the upstream of each request and judges the upstreams by the outcomes. Thread-safe; the functions with the
/// same names are described at `health::health_monitor`. `follow_configuration` connects it to the configuration.
class health_service : public kernel::service {
public:
    static constexpr std::string_view service_name = "health";

    health_service(kernel::instance_id own, kernel::clock_source clock);

    [[nodiscard]] std::string_view name() const override { return service_name; }

    kernel::result<void> start() override;
    void stop() override;

    void configure(const std::vector<health::service_definition>& services, kernel::time_point now);

    kernel::result<health::chosen_upstream> choose(const kernel::service_name& target, const kernel::route_name& route,
                                                   const std::unordered_set<kernel::upstream_name>& excluded,
                                                   kernel::time_point now);
    void request_sent(health::choice_handle handle, kernel::time_point now);
    void answer_started(health::choice_handle handle);
    void finish(health::choice_handle handle, const health::outcome& result, kernel::time_point now);

    void mark_leaving(const kernel::upstream_name& upstream, kernel::time_point now);
    void set_leaving(const std::unordered_set<kernel::upstream_name>& upstreams, kernel::time_point now);

    health::evidence_report make_report(kernel::time_point now);
    std::vector<health::evidence_report> make_reports(kernel::time_point now);
    [[nodiscard]] bool needs_evidence(kernel::time_point now) const;
    void merge_report(const health::evidence_report& report, kernel::time_point now);

    [[nodiscard]] bool is_quarantined(std::uint64_t fingerprint, kernel::time_point now) const;

    [[nodiscard]] std::vector<health::service_status> snapshot() const;

private:
    void advance();
    void log_transitions(const std::vector<health::upstream_transition>& transitions) const;

    kernel::clock_source clock_;
    mutable std::mutex mutex_;
    health::health_monitor monitor_;
    std::unique_ptr<kernel::periodic_task> task_;
};

} // namespace wisterialane::services
