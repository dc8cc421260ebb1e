#include "tests/proxy/service_emulation.h"

#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

/// Fraction of a service's healthy upstreams that must receive requests while callers are unserved.
constexpr double floor_fraction = 0.7;
/// The floor applies while the unserved fraction of the requests lies between these.
constexpr double minimum_unserved_fraction = 0.1;
constexpr double maximum_unserved_fraction = 0.5;

std::size_t windows_below_floor(const emulation_options& options)
{
    service_emulation emulation{options};
    emulation.run(seconds{30});
    REQUIRE(emulation.windows().size() > 100);
    const auto& windows = emulation.windows();
    return static_cast<std::size_t>(std::count_if(windows.begin(), windows.end(), [](const auto& window) {
        const bool applies = window.unserved_fraction() > minimum_unserved_fraction &&
                             window.unserved_fraction() < maximum_unserved_fraction;
        return applies && window.healthy > 0 && window.used > 0 && window.used_fraction() < floor_fraction;
    }));
}

} // namespace

// Guards against a violation of FLOOR (seen on asiis-gw-grown): the few healthy upstreams are ejected together with the
// many failing ones.
TEST_CASE("service floor: most upstreams lose answers: the healthy ones get requests again within two seconds" *
          doctest::may_fail())
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        emulation_options options;
        options.seed = seed;
        CHECK(windows_below_floor(options) == 0);
    }
}

} // namespace wisterialane::proxy
