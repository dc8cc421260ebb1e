#pragma once

#include <string_view>

namespace wisterialane::proxy {

/// Log events and failure codes of the proxy, 11000 to 11999.
enum class proxy_event {
    listening = 11000,
    listen_failed = 11001,
    stop_requested = 11002,
    stopped = 11003,
    settings_reloaded = 11004,
    settings_kept = 11005,
    requests_given_up = 11006,
    handler_failed = 11007,
    invalid_limit = 11010,
    key_held_twice = 11011,
    invalid_prefix = 11012,
    invalid_host_name = 11013,
    unknown_service = 11014,
    unreadable_document = 11015,
    configuration_applied = 11016,
    configuration_kept = 11017,
    configuration_object_invalid = 11018,
    invalid_weights = 11019,
    store_unreachable = 11020,
    store_refused = 11021,
    store_recovered = 11022,
    store_answer_unreadable = 11023,
    store_history_lost = 11024,
    readiness_changed = 11025,
    upstream_added = 11030,
    upstream_leaving = 11031,
    upstream_removed = 11032,
    upstream_entry_unreadable = 11033,
    upstream_suspected = 11034,
    upstream_trusted = 11035,
    service_unserved = 11036,
    upstream_limit_changed = 11037,
    request_failed = 11041,
    request_refused = 11042,
    request_served = 11043,
    caller_left = 11044,
    attempt_failed = 11045,
    request_blamed = 11046,
    request_cut = 11047,
    peer_heard = 11050,
    peer_message_unreadable = 11052,
    evacuation_started = 11060,
    evacuation_ended = 11061,
    evacuation_unreadable = 11062,
    evacuation_unknown = 11063,
    all_data_centres_evacuated = 11064,
    store_era_changed = 11065,
    configuration_older = 11066,
    upstream_cold_changed = 11070,
    spillover_changed = 11071,
    service_shedding = 11080,
    quota_start = 11090,
    event_loop_late = 11100,
    event_loop_recovered = 11101,
    active_hosts_changed = 11102,
    document_incomplete = 11103,
};

[[nodiscard]] std::string_view to_name(proxy_event event);

} // namespace wisterialane::proxy
