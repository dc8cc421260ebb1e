#include "tests/peers/simulated_fleet.h"

#include <algorithm>

namespace wisterialane::peers {
namespace {

constexpr std::int64_t millisecond = 1000;
constexpr std::int64_t check_interval = 20 * millisecond;
constexpr std::int64_t pull_interval = 250 * millisecond;
constexpr double polls_per_pull = 0.25;
// F on a clock that is slower than the virtual time by the permitted difference.
constexpr std::int64_t bound = 4040 * millisecond;

configuration::chain_hash hash_of(std::uint64_t version)
{
    return configuration::chain_hash{version == 0 ? std::string{} : std::to_string(version)};
}

} // namespace

simulated_fleet::simulated_fleet(std::uint64_t seed, std::size_t host_count) : random_{seed}
{
    connected_.assign(host_count, std::vector<bool>(host_count, true));
    reaches_platform_.assign(host_count, true);
    accepted_.emplace_back(0, 0);
    for (std::size_t slot = 0; slot < host_count; ++slot) {
        slots_.push_back(make_host(kernel::socket_address{"address-" + std::to_string(slot)}));
        start_routine(slot);
    }
    log_.emplace_back();
    log_.push_back(random_roster());
    schedule_fault();
}

std::string simulated_fleet::run(std::int64_t milliseconds)
{
    ticks next_check = now_;
    const auto end = now_ + milliseconds * millisecond;
    while (now_ < end) {
        if (events_.begin()->first >= next_check) {
            now_ = next_check;
            next_check += check_interval;
        }
        else {
            auto event = events_.extract(events_.begin());
            now_ = std::max(now_, event.key());
            event.mapped()();
            update_accepted();
        }
        if (auto violation = check(); !violation.empty()) {
            return violation + " at " + std::to_string(now_ / millisecond) + " ms";
        }
    }
    return {};
}

simulated_fleet::ticks simulated_fleet::random_between(ticks low, ticks high)
{
    return std::uniform_int_distribution<ticks>{low, high}(random_);
}

bool simulated_fleet::happens(double probability)
{
    return std::bernoulli_distribution{probability}(random_);
}

kernel::time_point simulated_fleet::local_time(const host& item) const
{
    const auto local = static_cast<ticks>(static_cast<double>(now_) * item.rate) + item.offset;
    return kernel::time_point{std::chrono::microseconds{local}};
}

void simulated_fleet::at(ticks time, std::function<void()> action)
{
    events_.emplace(time, std::move(action));
}

void simulated_fleet::deliver(const host_pointer& to, ticks time, std::function<void()> action)
{
    at(time, [this, to, action = std::move(action)] {
        if (!to->running) {
            return;
        }
        if (to->frozen_until > now_) {
            deliver(to, to->frozen_until, action);
            return;
        }
        action();
    });
}

simulated_fleet::host_pointer simulated_fleet::make_host(const kernel::socket_address& address)
{
    auto digits = std::to_string(next_instance_++);
    digits.insert(0, 4 - std::min<std::size_t>(4, digits.size()), '0');
    auto made = std::make_shared<host>(kernel::instance_id{digits});
    made->address = address;
    made->tracker.claim_address(address, kernel::time_point{});
    made->rate = 1 + static_cast<double>(random_between(-40, 40)) / 10000;
    made->offset = random_between(0, 1'000'000'000);
    all_hosts_.push_back(made);
    return made;
}

void simulated_fleet::start_routine(std::size_t slot)
{
    deliver(slots_[slot], now_ + random_between(0, 2 * pull_interval), [this, slot] {
        pull(slot, static_cast<std::size_t>(random_between(0, static_cast<ticks>(slots_.size()) - 1)));
        if (happens(polls_per_pull)) {
            poll(slot);
        }
        start_routine(slot);
    });
}

void simulated_fleet::pull(std::size_t from_slot, std::size_t to_slot)
{
    const auto puller = slots_[from_slot];
    const auto peer = slots_[to_slot];
    if (peer == puller || !connected_[from_slot][to_slot] || happens(0.1)) {
        return;
    }
    const auto sent = local_time(*puller);
    const auto version = puller->tracker.version();
    const ticks longest_transit = (happens(0.1) ? 6000 : 50) * millisecond;
    deliver(peer, now_ + random_between(millisecond, longest_transit), [=, this] {
        peer->tracker.hear_request(puller->instance, version, host_state::serving, local_time(*peer));
        const auto response = peer->tracker.report(local_time(*peer));
        if (!connected_[to_slot][from_slot] || happens(0.1)) {
            return;
        }
        for (int copies = happens(0.1) ? 2 : 1; copies > 0; --copies) {
            deliver(puller, now_ + random_between(millisecond, longest_transit),
                    [=, this] { take_response(puller, peer, response, sent); });
        }
    });
}

void simulated_fleet::take_response(const host_pointer& puller, const host_pointer& peer, const pull_response& response,
                                    kernel::time_point sent)
{
    const auto outcome = puller->tracker.hear(peer->instance, response, sent, local_time(*puller));
    if (outcome == hear_outcome::newer_available && happens(0.9)) {
        catch_up(*puller, response.version.value());
    }
}

void simulated_fleet::poll(std::size_t slot)
{
    if (!reaches_platform_[slot]) {
        return;
    }
    const auto poller = slots_[slot];
    const auto sent = local_time(*poller);
    const auto held = poller->tracker.version();
    const ticks longest_transit = (happens(0.1) ? 3000 : 20) * millisecond;
    at(now_ + random_between(millisecond, longest_transit), [=, this] {
        const auto newest = log_.size() - 1;
        deliver(poller, now_ + random_between(millisecond, longest_transit), [=, this] {
            if (newest == held.value()) {
                poller->tracker.observe(held, sent);
            }
            else {
                catch_up(*poller, newest);
            }
        });
    });
}

void simulated_fleet::catch_up(host& item, std::uint64_t version)
{
    const auto now = local_time(item);
    if (item.tracker.version().value() == 0 && version > 1 && happens(0.5)) {
        const auto snapshot = static_cast<std::uint64_t>(random_between(1, static_cast<ticks>(version)));
        item.tracker.start_at(kernel::version_number{snapshot}, hash_of(snapshot), log_[snapshot], now);
    }
    for (auto next = item.tracker.version().value() + 1; next <= version; ++next) {
        item.tracker.advance(kernel::version_number{next}, hash_of(next), log_[next], now);
    }
}

void simulated_fleet::schedule_fault()
{
    at(now_ + random_between(100 * millisecond, 1500 * millisecond), [this] {
        inject_fault();
        schedule_fault();
    });
}

void simulated_fleet::inject_fault()
{
    const auto slot = static_cast<std::size_t>(random_between(0, static_cast<ticks>(slots_.size()) - 1));
    const auto kind = random_between(0, 99);
    if (kind < 50) {
        append_version();
    }
    else if (kind < 65) {
        split_network();
    }
    else if (kind < 75) {
        connected_.assign(slots_.size(), std::vector<bool>(slots_.size(), true));
        reaches_platform_.assign(slots_.size(), true);
    }
    else if (kind < 85) {
        slots_[slot]->frozen_until = now_ + random_between(500 * millisecond, 9000 * millisecond);
    }
    else if (kind < 90) {
        reaches_platform_.assign(slots_.size(), false);
    }
    else if (kind < 96) {
        restart(slot);
    }
    else {
        depart(slot);
    }
}

// One side keeps the platform; the other loses it and, in one direction or both, the first side.
void simulated_fleet::split_network()
{
    std::vector<bool> cut_off(slots_.size());
    std::generate(cut_off.begin(), cut_off.end(), [this] { return happens(0.6); });
    const bool both_directions = happens(0.7);
    for (std::size_t from = 0; from < slots_.size(); ++from) {
        reaches_platform_[from] = !cut_off[from];
        for (std::size_t to = 0; to < slots_.size(); ++to) {
            connected_[from][to] = cut_off[from] == cut_off[to] || (!both_directions && cut_off[from]);
        }
    }
}

void simulated_fleet::append_version()
{
    if (std::find(reaches_platform_.begin(), reaches_platform_.end(), true) != reaches_platform_.end()) {
        log_.push_back(happens(0.3) ? random_roster() : log_.back());
    }
}

// The host list lags and misses hosts; it is likely to show those that reach the platform.
configuration::roster simulated_fleet::random_roster()
{
    configuration::roster hosts;
    for (std::size_t slot = 0; slot < slots_.size(); ++slot) {
        if (happens(reaches_platform_[slot] ? 0.95 : 0.2)) {
            configuration::roster_entry entry;
            entry.instance = slots_[slot]->instance;
            entry.peer_address = slots_[slot]->address;
            hosts.entries.push_back(entry);
        }
    }
    std::sort(hosts.entries.begin(), hosts.entries.end(),
              [](const auto& left, const auto& right) { return left.instance.value() < right.instance.value(); });
    return hosts;
}

void simulated_fleet::restart(std::size_t slot)
{
    slots_[slot]->running = false;
    const auto new_address = kernel::socket_address{"address-of-" + std::to_string(next_instance_)};
    slots_[slot] = make_host(happens(0.5) ? slots_[slot]->address : new_address);
    start_routine(slot);
}

void simulated_fleet::depart(std::size_t slot)
{
    const auto leaving = slots_[slot];
    leaving->tracker.enter_state(host_state::departed);
    const auto other = slots_[(slot + 1) % slots_.size()];
    deliver(other, now_ + random_between(millisecond, 3000 * millisecond), [=, this] {
        other->tracker.hear_request(leaving->instance, leaving->tracker.version(), host_state::departed,
                                    local_time(*other));
    });
    restart(slot);
}

// By the true state: an instance that has ended acts on no version, whether or not others know that it has.
std::size_t simulated_fleet::holders(const configuration::roster& hosts, std::uint64_t version) const
{
    return static_cast<std::size_t>(
        std::count_if(all_hosts_.begin(), all_hosts_.end(), [&hosts, version](const host_pointer& item) {
            return hosts.find(item->instance) != nullptr &&
                   (!item->running || item->tracker.version().value() >= version);
        }));
}

bool simulated_fleet::is_accepted(std::uint64_t version) const
{
    for (auto earlier = accepted_.back().first; earlier <= version; ++earlier) {
        const auto& hosts = log_[earlier];
        if (!hosts.entries.empty() && holders(hosts, version) < hosts.quorum()) {
            return false;
        }
    }
    return true;
}

// In steps of one version, because an accepted version makes the rosters before it irrelevant to the next one.
void simulated_fleet::update_accepted()
{
    for (auto version = accepted_.back().first + 1; version < log_.size(); ++version) {
        if (is_accepted(version)) {
            ++coverage_.accepted_versions;
            coverage_.accepted_with_roster_change += log_[version] != log_[accepted_.back().first] ? 1 : 0;
            accepted_.emplace_back(version, now_);
        }
    }
}

std::string simulated_fleet::check()
{
    std::uint64_t settled = 0;
    for (const auto& item : slots_) {
        if (item->frozen_until <= now_) {
            settled = std::max(settled, item->tracker.settled(local_time(*item)).value());
        }
    }
    std::uint64_t accepted_before = 0;
    for (const auto& [version, time] : accepted_) {
        accepted_before = time < now_ - bound ? version : accepted_before;
    }
    for (std::size_t slot = 0; slot < slots_.size(); ++slot) {
        auto& item = *slots_[slot];
        if (item.frozen_until > now_) {
            continue;
        }
        if (auto violation = check_host(item, settled, accepted_before); !violation.empty()) {
            return violation;
        }
        const bool fresh = item.tracker.freshness_at(local_time(item)) == configuration::freshness::fresh;
        coverage_.stale += fresh ? 0 : 1;
        coverage_.fresh_without_platform += fresh && !reaches_platform_[slot] ? 1 : 0;
    }
    return {};
}

std::string simulated_fleet::check_host(host& item, std::uint64_t settled, std::uint64_t accepted_before) const
{
    const auto held = item.tracker.version().value();
    const auto describe = [&item, held](const std::string& what, std::uint64_t version) {
        return "instance " + item.instance.value() + " holds " + std::to_string(held) + ": " + what + " " +
               std::to_string(version);
    };
    if (held < item.last_version) {
        return describe("it held", item.last_version);
    }
    item.last_version = held;
    if (item.tracker.accepted().value() > accepted_.back().first) {
        return describe("it takes a version as accepted that is not:", item.tracker.accepted().value());
    }
    if (item.tracker.freshness_at(local_time(item)) == configuration::freshness::stale) {
        return {};
    }
    if (held < accepted_before) {
        return describe("it is fresh without accepted version", accepted_before);
    }
    if (held < settled) {
        return describe("it is fresh without settled version", settled);
    }
    return {};
}

} // namespace wisterialane::peers
