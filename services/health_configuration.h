#pragma once

#include "kernel/clock.h"
#include "libraries/configuration/configuration_view.h"
#include "libraries/health/service_definition.h"
#include "services/health_service.h"

#include <vector>

namespace wisterialane::services {

/// The services and upstreams of a configuration. Costs the size of the set.
/// FIXME: a listener that is given the changes of a version would cost their size only.
[[nodiscard]] std::vector<health::service_definition>
read_service_definitions(const configuration::configuration_set& set);

/// Makes the health service follow each applied version. Call before the services start; `health` outlives `view`'s use
/// of its listeners.
void follow_configuration(health_service& health, configuration::configuration_view& view, kernel::clock_source clock);

} // namespace wisterialane::services
