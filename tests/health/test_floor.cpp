#include "libraries/health/ejection_policy.h"
#include "libraries/health/health_monitor.h"

#include <algorithm>
#include <random>
#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace wisterialane::health {
namespace {

using namespace std::chrono_literals;

kernel::upstream_name upstream(unsigned index)
{
    return kernel::upstream_name{"u" + std::to_string(index)};
}

service_definition make_service(const std::vector<unsigned>& slots, unsigned floor_percent)
{
    service_definition service{kernel::service_name{"s"}, floor_percent, {}};
    for (unsigned index = 0; index < slots.size(); ++index) {
        service.upstreams.push_back({upstream(index), kernel::socket_address{"127.0.0.1:1"}, slots[index]});
    }
    return service;
}

bool keeps_floor(const service_status& status)
{
    const bool any_out = std::any_of(status.upstreams.begin(), status.upstreams.end(), [](const auto& item) {
        return item.condition == upstream_condition::ejected || item.condition == upstream_condition::avoided;
    });
    unsigned usable = 0;
    unsigned configured = 0;
    for (const auto& item : status.upstreams) {
        configured += item.slots;
        const bool is_out =
            item.condition == upstream_condition::ejected || item.condition == upstream_condition::avoided;
        usable += is_out || item.intake == upstream_intake::leaving ? 0 : item.slots;
    }
    (void)configured;
    return !any_out || usable >= status.required_slots;
}

// Guards against an interleaving of outcomes, reports, drains and configurations in which ejections and avoidances
// together leave less than the floor.
TEST_CASE("health_monitor: any sequence of events: the floor holds after each")
{
    const bool holds = rc::check([] {
        const auto slots = *rc::gen::container<std::vector<unsigned>>(5, rc::gen::inRange(1U, 5U));
        auto floor_percent = *rc::gen::inRange(1U, 101U);
        health_monitor monitor{kernel::instance_id{"own"},
                               [generator = std::mt19937_64{1}]() mutable { return generator(); }};
        kernel::time_point now{1h};
        monitor.configure({make_service(slots, floor_percent)}, now);
        std::uint64_t counted = 0;
        unsigned ejections = 0;
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(300, rc::gen::arbitrary<std::uint32_t>());
        for (const auto step : steps) {
            const auto name = upstream(step / 8 % 5);
            now += std::chrono::milliseconds{step / 64 % 256};
            switch (step % 8) {
            case 0: {
                const auto chosen = monitor.choose(kernel::service_name{"s"}, kernel::route_name{"r"}, {}, now);
                if (chosen) {
                    monitor.finish(chosen->handle, {outcome_kind::connect_refused, {}, 0}, now);
                }
                break;
            }
            case 1:
                if (step / 64 % 4 == 0) {
                    monitor.mark_leaving(name, now);
                }
                break;
            case 2:
                if (step / 64 % 8 == 0) {
                    floor_percent = step / 512 % 100 + 1;
                    monitor.configure({make_service(slots, floor_percent)}, now);
                }
                break;
            default:
                counted += 10;
                for (const char* reporter : {"a", "b", "c"}) {
                    monitor.merge_report({kernel::instance_id{reporter}, counted, {{name, 0, counted}}, {}}, now);
                }
            }
            monitor.advance(now);
            for (const auto& status : monitor.status()) {
                RC_ASSERT(keeps_floor(status));
                ejections += static_cast<unsigned>(
                    std::count_if(status.upstreams.begin(), status.upstreams.end(),
                                  [](const auto& item) { return item.condition == upstream_condition::ejected; }));
            }
        }
        RC_CLASSIFY(ejections > 0, "ejects");
    });
    CHECK(holds);
}

} // namespace
} // namespace wisterialane::health
