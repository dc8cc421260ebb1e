#include "libraries/proxy/proxy_events.h"
#include "libraries/proxy/store_watch.h"
#include "tests/proxy/proxy_fixture.h"

#include <unistd.h>

#include <doctest/doctest.h>

namespace wisterialane::proxy {
namespace {

/// Keeps the handlers of calls, so that a test answers them when it wants.
class scripted_source : public store_client {
public:
    void read_configuration(handler<configuration_reading> done) override { configuration = std::move(done); }

    void await_configuration(store_revision, std::chrono::milliseconds, handler<configuration_reading> done) override
    {
        configuration = std::move(done);
    }

    void read_upstreams(handler<upstreams_reading> done) override
    {
        ++complete_reads;
        upstreams = std::move(done);
    }

    void await_upstream_changes(store_revision, std::chrono::milliseconds, handler<upstreams_reading> done) override
    {
        ++change_reads;
        upstreams = std::move(done);
    }

    void read_hosts(handler<hosts_reading>) override {}

    void register_host(const host_record&, handler<answer_metadata>) override {}

    void stop() override {}

    handler<configuration_reading> configuration;
    handler<upstreams_reading> upstreams;
    int complete_reads = 0;
    int change_reads = 0;
};

/// A host that has read a first configuration and three upstreams at revision 10.
struct watch_fixture : balancer_fixture {
    io_context context{1};
    scripted_source source;
    configuration_freshness confirmed;
    proxy_metrics metrics;
    kernel::decision_log log{{-1, 1000, 1000}};
    kernel::version_number version{0};
    bool reader = false;
    std::vector<store_relay> relayed;
    std::shared_ptr<store_watch> watch = std::make_shared<store_watch>(
        context, source, directory, confirmed, metrics, log,
        store_watch::hooks{[this](const traffic_configuration& next) {
                               version = next.version;
                               return true;
                           },
                           [this] { return version; }, [this](auto) { return reader; },
                           [this](auto relay) { relayed.push_back(std::move(relay)); }, [this] { return now; }});

    watch_fixture()
    {
        watch->start();
        answer_upstreams(10, {make_upstream("a"), make_upstream("b"), make_upstream("c")});
        traffic_configuration first;
        first.version = kernel::version_number{5};
        source.configuration(configuration_reading{reading(10), first});
    }

    [[nodiscard]] answer_metadata reading(std::uint64_t revision) const
    {
        return {now, std::chrono::duration_cast<store_time>(now - test_start), store_revision{revision}};
    }

    void answer_upstreams(std::uint64_t revision, std::vector<upstream_record> present,
                          std::vector<kernel::upstream_name> removed = {})
    {
        const auto done = std::exchange(source.upstreams, nullptr);
        done(upstreams_reading{reading(revision), std::move(present), std::move(removed), {}});
    }

    [[nodiscard]] store_relay relay(std::uint64_t after, std::uint64_t up_to) const
    {
        return {version,
                std::chrono::duration_cast<store_time>(now - test_start),
                store_revision{after},
                store_revision{up_to},
                {},
                {}};
    }
};

} // namespace

TEST_CASE_FIXTURE(watch_fixture, "store_watch: relay with changes: applies them without a call")
{
    auto news = relay(10, 12);
    news.present = {make_upstream("d")};
    news.removed = {kernel::upstream_name{"a"}};
    watch->on_relay(news);
    CHECK(directory.find(kernel::upstream_name{"d"}) != nullptr);
    CHECK(directory.find(kernel::upstream_name{"a"}) == nullptr);
    CHECK(source.change_reads == 0);
}

// Guards against changes that are missed for good when one datagram is lost.
TEST_CASE_FIXTURE(watch_fixture, "store_watch: relay after a gap: reads by itself")
{
    watch->on_relay(relay(12, 13));
    CHECK(source.change_reads == 1);
}

// Guards against a leaving upstream that keeps getting requests: a host that came back from a cut held the missing
// entry until the next change in the store, nine seconds later.
TEST_CASE_FIXTURE(watch_fixture, "store_watch: entry missing after an outage, nothing else changes: is dropped in time")
{
    directory.record_store_failure(now);
    directory.remove(kernel::upstream_name{"a"}, now + seconds{1});
    REQUIRE(directory.find(kernel::upstream_name{"a"}) != nullptr);
    now += seconds{1};
    watch->on_relay(relay(10, 10));
    CHECK(directory.find(kernel::upstream_name{"a"}) != nullptr);
    now += milliseconds{1300};
    watch->on_relay(relay(10, 10));
    CHECK(directory.find(kernel::upstream_name{"a"}) == nullptr);
}

// Guards against a withdrawn key that is served because a delayed relay looks fresh.
TEST_CASE_FIXTURE(watch_fixture, "store_watch: relay that was under way for long: proves its own time only")
{
    const auto old = relay(10, 10);
    now += seconds{3};
    watch->on_relay(old);
    CHECK(*confirmed.age(now) >= seconds{3});
    watch->on_relay(relay(10, 10));
    CHECK(*confirmed.age(now) < milliseconds{1});
}

TEST_CASE_FIXTURE(watch_fixture, "store_watch: relay of a newer version: does not confirm the old one")
{
    const auto before = *confirmed.age(now);
    now += seconds{2};
    auto news = relay(10, 10);
    news.version = kernel::version_number{6};
    watch->on_relay(news);
    CHECK(*confirmed.age(now) == before + seconds{2});
}

TEST_CASE_FIXTURE(watch_fixture, "store_watch: change read by the reader: is relayed once, without mere heartbeats")
{
    relayed.clear();
    auto leaving = make_upstream("b");
    leaving.phase = upstream_phase::draining;
    reader = true;
    watch->begin_reading();
    REQUIRE(source.upstreams);
    answer_upstreams(11, {make_upstream("a"), leaving});
    REQUIRE(relayed.size() == 1);
    CHECK(relayed[0].after == store_revision{10});
    CHECK(relayed[0].up_to == store_revision{11});
    REQUIRE(relayed[0].present.size() == 1);
    CHECK(relayed[0].present[0].id == kernel::upstream_name{"b"});
}

// Guards against a version that comes into force too late because the reader of the data centre has lost the store: a
// host that looked shortly before its remaining_relay_wait ended waited for the whole time once more.
TEST_CASE_FIXTURE(watch_fixture,
                  "store_watch: reader falls silent: the host reads by itself 1.2 s after the last relay")
{
    watch->on_relay(relay(10, 10));
    CHECK(watch->remaining_relay_wait(now + milliseconds{1100}) == milliseconds{100});
    CHECK(watch->remaining_relay_wait(now + milliseconds{1200}) == kernel::duration::zero());
    reader = true;
    CHECK(watch->remaining_relay_wait(now) == kernel::duration::zero());
}

// Guards against hosts that all read by themselves while their store calls fail, though the reader still relays.
TEST_CASE_FIXTURE(watch_fixture, "store_watch: own call fails: relays still fit and nothing is read anew")
{
    reader = true;
    watch->begin_reading();
    REQUIRE(source.upstreams);
    const auto done = std::exchange(source.upstreams, nullptr);
    done(kernel::fail(proxy_event::store_unreachable));
    reader = false;
    auto news = relay(10, 11);
    news.present = {make_upstream("d")};
    watch->on_relay(news);
    CHECK(directory.find(kernel::upstream_name{"d"}) != nullptr);
    CHECK(watch->remaining_relay_wait(now) > kernel::duration::zero());
    CHECK(source.complete_reads == 1);
}

// Guards against a call for each relay while the store refuses this host (asiis-gw-grown, trouble-1).
TEST_CASE_FIXTURE(watch_fixture, "store_watch: newer version, own read fails: further relays start no call at once")
{
    auto news = relay(10, 10);
    news.version = kernel::version_number{6};
    watch->on_relay(news);
    REQUIRE(source.configuration);
    const auto done = std::exchange(source.configuration, nullptr);
    done(kernel::fail(proxy_event::store_refused));
    watch->on_relay(news);
    CHECK_FALSE(source.configuration);
    now += milliseconds{300};
    watch->on_relay(news);
    CHECK(source.configuration);
}

TEST_CASE("retry_backoff: failures in a row: the pause doubles up to 1.2 s and starts anew after a success")
{
    retry_backoff backoff;
    CHECK(backoff.next(test_start) == milliseconds{300});
    CHECK(backoff.next(test_start) == milliseconds{600});
    CHECK(backoff.next(test_start) == milliseconds{1200});
    CHECK(backoff.next(test_start) == milliseconds{1200});
    backoff.reset();
    CHECK(backoff.next(test_start) == milliseconds{300});
}

TEST_CASE("store_clock: slow answers: the bound stays that of the quickest call")
{
    store_clock clock;
    clock.observe(test_start, store_time{1000});
    clock.observe(test_start + seconds{1}, store_time{5000});
    CHECK(*clock.earliest(store_time{3000}) == test_start + seconds{2});
    clock.observe(test_start + milliseconds{2100}, store_time{3000});
    CHECK(*clock.earliest(store_time{3000}) == test_start + milliseconds{2100});
}

} // namespace wisterialane::proxy
