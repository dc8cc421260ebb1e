#include "libraries/proxy/proxy_events.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wisterialane::proxy {
namespace {

constexpr std::array names{
    std::pair{proxy_event::listening, std::string_view{"listening"}},
    std::pair{proxy_event::listen_failed, std::string_view{"listen_failed"}},
    std::pair{proxy_event::stop_requested, std::string_view{"stop_requested"}},
    std::pair{proxy_event::stopped, std::string_view{"stopped"}},
    std::pair{proxy_event::settings_reloaded, std::string_view{"settings_reloaded"}},
    std::pair{proxy_event::settings_kept, std::string_view{"settings_kept"}},
    std::pair{proxy_event::requests_given_up, std::string_view{"requests_given_up"}},
    std::pair{proxy_event::handler_failed, std::string_view{"handler_failed"}},
    std::pair{proxy_event::invalid_limit, std::string_view{"invalid_limit"}},
    std::pair{proxy_event::key_held_twice, std::string_view{"key_held_twice"}},
    std::pair{proxy_event::invalid_prefix, std::string_view{"invalid_prefix"}},
    std::pair{proxy_event::invalid_host_name, std::string_view{"invalid_host_name"}},
    std::pair{proxy_event::unknown_service, std::string_view{"unknown_service"}},
    std::pair{proxy_event::unreadable_document, std::string_view{"unreadable_document"}},
    std::pair{proxy_event::configuration_applied, std::string_view{"configuration_applied"}},
    std::pair{proxy_event::configuration_kept, std::string_view{"configuration_kept"}},
    std::pair{proxy_event::configuration_object_invalid, std::string_view{"configuration_object_invalid"}},
    std::pair{proxy_event::invalid_weights, std::string_view{"invalid_weights"}},
    std::pair{proxy_event::store_unreachable, std::string_view{"store_unreachable"}},
    std::pair{proxy_event::store_refused, std::string_view{"store_refused"}},
    std::pair{proxy_event::store_recovered, std::string_view{"store_recovered"}},
    std::pair{proxy_event::store_answer_unreadable, std::string_view{"store_answer_unreadable"}},
    std::pair{proxy_event::store_history_lost, std::string_view{"store_history_lost"}},
    std::pair{proxy_event::readiness_changed, std::string_view{"readiness_changed"}},
    std::pair{proxy_event::upstream_added, std::string_view{"upstream_added"}},
    std::pair{proxy_event::upstream_leaving, std::string_view{"upstream_leaving"}},
    std::pair{proxy_event::upstream_removed, std::string_view{"upstream_removed"}},
    std::pair{proxy_event::upstream_entry_unreadable, std::string_view{"upstream_entry_unreadable"}},
    std::pair{proxy_event::upstream_suspected, std::string_view{"upstream_suspected"}},
    std::pair{proxy_event::upstream_trusted, std::string_view{"upstream_trusted"}},
    std::pair{proxy_event::service_unserved, std::string_view{"service_unserved"}},
    std::pair{proxy_event::upstream_limit_changed, std::string_view{"upstream_limit_changed"}},
    std::pair{proxy_event::request_failed, std::string_view{"request_failed"}},
    std::pair{proxy_event::request_refused, std::string_view{"request_refused"}},
    std::pair{proxy_event::request_served, std::string_view{"request_served"}},
    std::pair{proxy_event::caller_left, std::string_view{"caller_left"}},
    std::pair{proxy_event::attempt_failed, std::string_view{"attempt_failed"}},
    std::pair{proxy_event::request_blamed, std::string_view{"request_blamed"}},
    std::pair{proxy_event::request_cut, std::string_view{"request_cut"}},
    std::pair{proxy_event::peer_heard, std::string_view{"peer_heard"}},
    std::pair{proxy_event::peer_message_unreadable, std::string_view{"peer_message_unreadable"}},
    std::pair{proxy_event::evacuation_started, std::string_view{"evacuation_started"}},
    std::pair{proxy_event::evacuation_ended, std::string_view{"evacuation_ended"}},
    std::pair{proxy_event::evacuation_unreadable, std::string_view{"evacuation_unreadable"}},
    std::pair{proxy_event::evacuation_unknown, std::string_view{"evacuation_unknown"}},
    std::pair{proxy_event::all_data_centres_evacuated, std::string_view{"all_data_centres_evacuated"}},
    std::pair{proxy_event::store_era_changed, std::string_view{"store_era_changed"}},
    std::pair{proxy_event::configuration_older, std::string_view{"configuration_older"}},
    std::pair{proxy_event::upstream_cold_changed, std::string_view{"upstream_cold_changed"}},
    std::pair{proxy_event::spillover_changed, std::string_view{"spillover_changed"}},
    std::pair{proxy_event::service_shedding, std::string_view{"service_shedding"}},
    std::pair{proxy_event::quota_start, std::string_view{"quota_start"}},
    std::pair{proxy_event::event_loop_late, std::string_view{"event_loop_late"}},
    std::pair{proxy_event::event_loop_recovered, std::string_view{"event_loop_recovered"}},
    std::pair{proxy_event::active_hosts_changed, std::string_view{"active_hosts_changed"}},
    std::pair{proxy_event::document_incomplete, std::string_view{"document_incomplete"}},
};

} // namespace

std::string_view to_name(proxy_event event)
{
    const auto* const found =
        std::find_if(names.begin(), names.end(), [event](const auto& entry) { return entry.first == event; });
    return found == names.end() ? "unknown" : found->second;
}

} // namespace wisterialane::proxy
