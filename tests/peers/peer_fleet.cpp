#include "tests/peers/peer_fleet.h"

#include "kernel/random_id.h"
#include "libraries/platform/platform_events.h"

#include <algorithm>
#include <thread>
#include <utility>

#include <doctest/doctest.h>

namespace wisterialane::services {
namespace {

tl::unexpected<kernel::failure> unreachable()
{
    return kernel::fail(platform::platform_event::unreachable, "cut");
}

configuration_service_settings settings_of(const configuration::roster_entry& entry)
{
    configuration_service_settings settings;
    settings.self = entry;
    settings.roster_delay = std::chrono::milliseconds{300};
    settings.announce_interval = std::chrono::milliseconds{100};
    settings.poll_interval = std::chrono::milliseconds{100};
    return settings;
}

peer_service_settings settings_of(const configuration::roster_entry& entry, std::vector<kernel::socket_address> seeds)
{
    peer_service_settings settings;
    settings.listen_address = entry.peer_address;
    settings.secret = test_secret;
    settings.seeds = std::move(seeds);
    settings.pull_interval = std::chrono::milliseconds{50};
    return settings;
}

configuration::roster_entry make_entry(const std::string& name, const kernel::socket_address& address)
{
    configuration::roster_entry entry;
    entry.instance = kernel::instance_id{kernel::random_hex(16)};
    entry.host = kernel::host_name{name};
    entry.data_centre = kernel::data_centre_name{"here"};
    entry.peer_address = address;
    return entry;
}

} // namespace

bool eventually(const std::function<bool()>& condition, std::chrono::seconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    return true;
}

kernel::result<std::optional<platform::row>> gated_platform::read(std::string_view table_name, std::string_view key)
{
    return cut_ ? unreachable() : behind_.read(table_name, key);
}

kernel::result<std::vector<platform::row>> gated_platform::scan(std::string_view table_name, std::string_view prefix,
                                                                std::string_view after, std::size_t limit)
{
    return cut_ ? unreachable() : behind_.scan(table_name, prefix, after, limit);
}

kernel::result<platform::row_version> gated_platform::insert(std::string_view table_name, std::string_view key,
                                                             std::string_view value)
{
    return cut_ ? unreachable() : behind_.insert(table_name, key, value);
}

kernel::result<platform::row_version> gated_platform::update(std::string_view table_name, std::string_view key,
                                                             std::string_view value,
                                                             const platform::row_version& expected)
{
    return cut_ ? unreachable() : behind_.update(table_name, key, value, expected);
}

kernel::result<void> gated_platform::remove(std::string_view table_name, std::string_view key,
                                            const platform::row_version& expected)
{
    return cut_ ? unreachable() : behind_.remove(table_name, key, expected);
}

kernel::result<std::optional<std::string>> gated_platform::get(std::string_view key)
{
    return cut_ ? unreachable() : behind_.get(key);
}

kernel::result<void> gated_platform::put(std::string_view key, std::string_view bytes)
{
    return cut_ ? unreachable() : behind_.put(key, bytes);
}

kernel::result<std::vector<platform::listed_host>> gated_platform::read()
{
    return cut_ ? unreachable() : behind_.read();
}

kernel::result<void> gated_platform::announce(const platform::listed_host& self)
{
    return cut_ ? unreachable() : behind_.announce(self);
}

peer_host::peer_host(stand_ins::memory_platform& platform, kernel::clock_source time, configuration::roster_entry self,
                     std::vector<kernel::socket_address> seeds)
    : entry{std::move(self)}, clock{std::move(time)}, gate{platform},
      configuration{settings_of(entry), gate, gate, gate, clock}, peers{settings_of(entry, std::move(seeds)),
                                                                        configuration, clock}
{}

peer_host::~peer_host()
{
    stop();
}

void peer_host::start()
{
    REQUIRE(configuration.start());
    REQUIRE(peers.start());
    running = true;
}

void peer_host::stop()
{
    if (running) {
        peers.stop();
        configuration.stop();
        running = false;
    }
}

bool peer_host::is_fresh() const
{
    return configuration.freshness_at(clock()) == configuration::freshness::fresh;
}

peer_fleet::peer_fleet()
    : clock_{[shift = shift_ms_] { return kernel::boot_clock::now() + std::chrono::milliseconds{shift->load()}; }}
{}

peer_host& peer_fleet::add_host(const std::string& name, const kernel::socket_address& address)
{
    std::vector<kernel::socket_address> seeds;
    for (const auto& item : hosts_) {
        seeds.push_back(item->entry.peer_address);
    }
    hosts_.push_back(std::make_unique<peer_host>(platform_, clock_, make_entry(name, address), std::move(seeds)));
    return *hosts_.back();
}

void peer_fleet::start_fleet(std::size_t count)
{
    for (std::size_t number = 1; number <= count; ++number) {
        add_host("host-" + std::to_string(number)).start();
    }
    REQUIRE(eventually([this, count] { return is_settled(count); }));
}

bool peer_fleet::is_settled(std::size_t count) const
{
    return all([count](const peer_host& item) {
        const auto version = item.configuration.version();
        return item.configuration.current_roster().entries.size() == count &&
               item.configuration.current_roster().find(item.entry.instance) != nullptr && item.is_fresh() &&
               item.configuration.progress_of(version, item.clock()).state == configuration::version_state::accepted;
    });
}

kernel::version_number peer_fleet::publish(const std::string& limit_name)
{
    configuration::log_store log{platform_, platform_};
    const configuration::limit item{kernel::limit_name{limit_name}, 1, 1};
    std::optional<configuration::record> next;
    REQUIRE(eventually([&] {
        hosts_.front()->configuration.read([&](const configuration::configuration_set& set) {
            next = configuration::make_record(set.version(), set.hash(), kernel::proposal_id{kernel::random_hex(16)},
                                              kernel::operator_name{"operator"}, {configuration::put_object{item}},
                                              std::nullopt);
        });
        const auto outcome = log.append(*next);
        return outcome && *outcome == configuration::append_outcome::appended;
    }));
    return next->version;
}

bool peer_fleet::all(const std::function<bool(const peer_host&)>& condition) const
{
    return std::all_of(hosts_.begin(), hosts_.end(), [&condition](const auto& item) { return condition(*item); });
}

} // namespace wisterialane::services
