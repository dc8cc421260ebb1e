#pragma once

#include "libraries/peers/freshness_tracker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace wisterialane::peers {

/// How often the interesting situations occurred, so that a property cannot hold for want of them.
struct simulation_coverage {
    std::uint64_t fresh_without_platform = 0;
    std::uint64_t stale = 0;
    std::uint64_t accepted_versions = 0;
    std::uint64_t accepted_with_roster_change = 0;
};

/// A few hosts with a freshness tracker each, on virtual clocks of different offset and rate, a platform with outages,
/// and a network that drops, duplicates, delays and reorders, in each direction separately. Hosts freeze, restart and
/// leave. All of it follows from the seed.
class simulated_fleet {
public:
    simulated_fleet(std::uint64_t seed, std::size_t host_count);

    /// Runs for so many virtual milliseconds; returns the first violation of the invariant, or an empty text.
    std::string run(std::int64_t milliseconds);

    [[nodiscard]] const simulation_coverage& coverage() const { return coverage_; }

private:
    /// Virtual time in microseconds.
    using ticks = std::int64_t;

    struct host {
        explicit host(const kernel::instance_id& id) : instance{id}, tracker{id} {}

        kernel::instance_id instance;
        freshness_tracker tracker;
        kernel::socket_address address;
        double rate = 1;
        ticks offset = 0;
        ticks frozen_until = 0;
        std::uint64_t last_version = 0;
        bool running = true;
    };

    using host_pointer = std::shared_ptr<host>;

    [[nodiscard]] ticks random_between(ticks low, ticks high);
    [[nodiscard]] bool happens(double probability);
    [[nodiscard]] kernel::time_point local_time(const host& item) const;
    void at(ticks time, std::function<void()> action);
    /// Runs the action on the host, after its freeze if it is frozen, and never if it has ended by then.
    void deliver(const host_pointer& to, ticks time, std::function<void()> action);

    host_pointer make_host(const kernel::socket_address& address);
    void start_routine(std::size_t slot);
    void pull(std::size_t from_slot, std::size_t to_slot);
    void take_response(const host_pointer& puller, const host_pointer& peer, const pull_response& response,
                       kernel::time_point sent);
    void poll(std::size_t slot);
    void catch_up(host& item, std::uint64_t version);
    void schedule_fault();
    void inject_fault();
    void split_network();
    void append_version();
    void restart(std::size_t slot);
    void depart(std::size_t slot);
    [[nodiscard]] configuration::roster random_roster();
    void update_accepted();
    [[nodiscard]] bool is_accepted(std::uint64_t version) const;
    [[nodiscard]] std::size_t holders(const configuration::roster& hosts, std::uint64_t version) const;
    [[nodiscard]] std::string check();
    [[nodiscard]] std::string check_host(host& item, std::uint64_t settled, std::uint64_t accepted_before) const;

    std::mt19937_64 random_;
    ticks now_ = 0;
    std::multimap<ticks, std::function<void()>> events_;
    std::vector<host_pointer> slots_;
    std::vector<host_pointer> all_hosts_;
    /// Whether messages from one slot reach another, and whether a slot reaches the platform.
    std::vector<std::vector<bool>> connected_;
    std::vector<bool> reaches_platform_;
    /// The roster of each committed version.
    std::vector<configuration::roster> log_;
    /// Accepted versions by the hosts' true state, with the time of acceptance.
    std::vector<std::pair<std::uint64_t, ticks>> accepted_;
    std::uint64_t next_instance_ = 0;
    simulation_coverage coverage_;
};

} // namespace wisterialane::peers
