#include "tests/stand_ins/platform/platform_state.h"

#include <doctest/doctest.h>

namespace wisterialane::stand_ins {
namespace {

platform::listed_host entry_host(const std::string& instance)
{
    platform::listed_host host;
    host.instance = kernel::instance_id{instance};
    return host;
}

// Guards against a stand-in whose host list is fresher than the platform's, which would hide faults of the roster.
TEST_CASE("platform_state: host list lag: shows the list as it was that long ago")
{
    platform_state state;
    state.set_host_list_lag(std::chrono::seconds{2});
    state.set_host_list_expiry(std::chrono::seconds{3});
    const auto start = kernel::time_point{} + std::chrono::hours{1};
    state.announce_host(entry_host("a"), start);
    CHECK(state.read_hosts(start + std::chrono::milliseconds{1'999}).empty());
    CHECK(state.read_hosts(start + std::chrono::seconds{2}).size() == 1);
    CHECK(state.read_hosts(start + std::chrono::milliseconds{4'999}).size() == 1);
    CHECK(state.read_hosts(start + std::chrono::seconds{5}).empty());
}

TEST_CASE("platform_state: renewed host: stays listed, and its change shows after the lag")
{
    platform_state state;
    state.set_host_list_lag(std::chrono::seconds{1});
    auto now = kernel::time_point{} + std::chrono::hours{1};
    for (int round = 0; round < 10; ++round) {
        now += std::chrono::seconds{2};
        state.announce_host(entry_host("a"), now);
        CHECK(state.read_hosts(now + std::chrono::seconds{1}).size() == 1);
    }
    auto leaving = entry_host("a");
    leaving.state = platform::listed_state::leaving;
    state.announce_host(leaving, now + std::chrono::seconds{2});
    CHECK(state.read_hosts(now + std::chrono::milliseconds{2'999}).at(0).state == platform::listed_state::live);
    CHECK(state.read_hosts(now + std::chrono::seconds{3}).at(0).state == platform::listed_state::leaving);
}

TEST_CASE("platform_state: upstream: does not expire and goes when removed")
{
    platform_state state;
    platform::listed_host upstream;
    upstream.role = platform::listed_role::upstream;
    upstream.name = kernel::host_name{"u1"};
    const auto start = kernel::time_point{};
    state.put_upstream(upstream, start);
    CHECK(state.read_hosts(start + std::chrono::hours{1}).size() == 1);
    state.remove_upstream(upstream.name, start + std::chrono::hours{1});
    CHECK(state.read_hosts(start + std::chrono::hours{1}).empty());
}

} // namespace
} // namespace wisterialane::stand_ins
