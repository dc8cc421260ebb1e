#pragma once

#include <string_view>

namespace wisterialane::health {

/// Events and failures 7000 to 7999.
enum class health_event {
    upstream_ejected = 7000,
    upstream_returning = 7001,
    upstream_restored = 7002,
    upstream_avoided = 7003,
    ejection_withheld = 7004,
    fingerprint_quarantined = 7005,
    upstream_leaving = 7006,
    service_unknown = 7007,
    no_usable_upstream = 7008,
    upstreams_busy = 7009,
};

[[nodiscard]] std::string_view to_name(health_event event);

} // namespace wisterialane::health
