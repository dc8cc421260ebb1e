#include "services/health_configuration.h"

#include <utility>

namespace wisterialane::services {

std::vector<health::service_definition> read_service_definitions(const configuration::configuration_set& set)
{
    std::vector<health::service_definition> definitions;
    for (const auto& reference : set.list()) {
        if (reference.kind != configuration::object_kind::service) {
            continue;
        }
        const kernel::service_name name{reference.name};
        const auto* service = set.find_service(name);
        if (service == nullptr) {
            continue;
        }
        health::service_definition definition{name, service->floor_percent, {}};
        for (const auto& upstream_name : set.upstreams_of(name)) {
            if (const auto* upstream = set.find_upstream(upstream_name)) {
                const auto intake = upstream->state == configuration::upstream_state::leaving
                                        ? health::upstream_intake::leaving
                                        : health::upstream_intake::open;
                definition.upstreams.push_back({upstream->name, upstream->address, upstream->slots, intake});
            }
        }
        definitions.push_back(std::move(definition));
    }
    return definitions;
}

void follow_configuration(health_service& health, configuration::configuration_view& view, kernel::clock_source clock)
{
    view.add_listener([&health, clock = std::move(clock)](const configuration::configuration_set& set) {
        health.configure(read_service_definitions(set), clock());
    });
}

} // namespace wisterialane::services
