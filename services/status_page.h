#pragma once

#include "kernel/clock.h"
#include "kernel/service_registry.h"

#include <string>

namespace wisterialane::services {

/// JSON for `wisterialanectl status`: freshness and version of the configuration, whether the platform answers, which
/// hosts are heard, which upstreams are ejected since when and on what evidence, which customers are being limited.
/// Ages and durations are in seconds.
[[nodiscard]] std::string render_status(const kernel::service_registry& registry, kernel::time_point now);

} // namespace wisterialane::services
