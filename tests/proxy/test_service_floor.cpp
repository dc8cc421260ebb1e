#include "tests/proxy/service_emulation.h"

#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

/// Part of a service's sound upstreams that must get requests while callers go unserved.
constexpr double floor_part = 0.7;
/// The floor binds while the unserved part of the requests lies between these.
constexpr double unserved_from = 0.1;
constexpr double unserved_to = 0.5;

std::size_t windows_below_floor(const emulation_options& use)
{
    service_emulation emulation{use};
    emulation.run(seconds{30});
    REQUIRE(emulation.windows().size() > 100);
    const auto& windows = emulation.windows();
    return static_cast<std::size_t>(std::count_if(windows.begin(), windows.end(), [](const auto& window) {
        const bool binds = window.unserved_part() > unserved_from && window.unserved_part() < unserved_to;
        return binds && window.sound > 0 && window.used > 0 && window.used_part() < floor_part;
    }));
}

} // namespace

// Guards against FLOOR broken on asiis-gw-grown: few sound upstreams, banned with the many that fail.
TEST_CASE("service floor: most upstreams lose answers: the sound ones get requests again within two seconds" *
          doctest::may_fail())
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        emulation_options use;
        use.seed = seed;
        CHECK(windows_below_floor(use) == 0);
    }
}

} // namespace wisterialane::proxy
