#include "tests/limits/simulated_fleet.h"

#include "libraries/limits/capacity_arithmetic.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <string>
#include <utility>

namespace wisterialane::limits {
namespace {

constexpr double step_seconds = 0.02;
constexpr double freshness_bound = 4;
constexpr double detection_seconds = 3;
constexpr double longest_wait_seconds = 0.05;
/// The longest time for which loans and shares of a version stay in use after the next one has settled.
constexpr double transition_seconds = 4.05;
/// Absorbs rounding errors of the sums.
constexpr double rounding = 1e-6;

const kernel::customer_name customer{"asiis"};

} // namespace

simulated_fleet::simulated_fleet(std::uint32_t seed, std::size_t host_count, const capacity& limit,
                                 const fleet_faults& faults)
    : random_{seed}, faults_{faults}, window_excess_{-limit.burst}
{
    std::vector<kernel::instance_id> instances;
    for (std::size_t index = 0; index < host_count; ++index) {
        add_host();
        instances.push_back(hosts_.back().instance);
    }
    versions_.push_back({instances, limit, 0});
    for (auto& item : hosts_) {
        learn(item, 0);
    }
}

void simulated_fleet::run(double seconds, double requests_per_second, const std::vector<double>& weights)
{
    for (const auto end = now_ + seconds; now_ < end;) {
        step(requests_per_second, weights);
    }
}

void simulated_fleet::kill(std::size_t host_index)
{
    hosts_[host_index].frozen_until = std::numeric_limits<double>::infinity();
    hosts_[host_index].waiting.clear();
    roster_change_due_ = now_ + detection_seconds;
}

bool simulated_fleet::is_home(std::size_t host_index) const
{
    const auto chosen = homes(versions_.back());
    return std::find(chosen.begin(), chosen.end(), hosts_[host_index].instance) != chosen.end();
}

void simulated_fleet::step(double requests_per_second, const std::vector<double>& weights)
{
    const auto before = allowed_at(now_);
    now_ += step_seconds;
    const auto allowed = larger(before, allowed_at(now_));
    window_excess_ = std::max(window_excess_ - allowed.rate_per_second * step_seconds, -allowed.burst);
    inject_faults();
    deliver();
    double weight_sum = 0;
    for (const auto weight : weights) {
        weight_sum += weight;
    }
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        auto& item = hosts_[index];
        if (now_ < item.frozen_until) {
            continue;
        }
        while (item.version + 1 < versions_.size() && now_ >= item.learns_next) {
            learn(item, item.version + 1);
        }
        const auto weight = index < weights.size() ? weights[index] : 0;
        act(item, requests_per_second * step_seconds * weight / weight_sum);
    }
    measure_excess();
}

void simulated_fleet::measure_excess()
{
    // Not at each step, because the copies take most of the running time.
    if (!happens(0.2)) {
        return;
    }
    double tokens = 0;
    for (const auto& item : hosts_) {
        if (acts(item)) {
            // A copy, because frequent refills hide faults in late ones.
            auto copy = item.limiter;
            tokens += copy.state_at(clock_of(item)).tokens;
        }
    }
    const auto excess = window_excess_ + tokens;
    worst_excess_ = std::max(worst_excess_, excess > rounding ? excess : 0);
}

void simulated_fleet::publish(const std::vector<kernel::instance_id>& instances, const capacity& limit)
{
    const auto settles = std::max(versions_.back().settles, now_ + freshness_bound + uniform(0, 1));
    versions_.push_back({instances, limit, settles});
    for (auto& item : hosts_) {
        if (item.version + 2 == versions_.size()) {
            item.learns_next = now_ + uniform(0, faults_.learn_seconds);
        }
    }
}

void simulated_fleet::inject_faults()
{
    if (roster_change_due_ > 0 && now_ >= roster_change_due_) {
        roster_change_due_ = 0;
        auto instances = versions_.back().instances;
        std::erase_if(instances, [this](const auto& instance) {
            return std::any_of(hosts_.begin(), hosts_.end(), [&instance](const host& item) {
                return item.instance == instance && item.frozen_until == std::numeric_limits<double>::infinity();
            });
        });
        publish(instances, versions_.back().limit);
    }
    const auto& newest = versions_.back();
    if (happens(faults_.new_limit * step_seconds)) {
        publish(newest.instances, {uniform(5, 100), uniform(2, 60)});
    }
    if (happens(faults_.replace * step_seconds)) {
        // The replaced instance keeps running: it may be paused or slow to learn that it is no longer a member.
        auto instances = versions_.back().instances;
        add_host();
        instances[random_() % instances.size()] = hosts_.back().instance;
        learn(hosts_.back(), versions_.size() - 1);
        publish(instances, versions_.back().limit);
    }
    if (happens(faults_.freeze * step_seconds)) {
        hosts_[random_() % hosts_.size()].frozen_until = now_ + uniform(0, 12);
    }
}

void simulated_fleet::add_host()
{
    const kernel::instance_id instance{"instance-" + std::to_string(hosts_.size())};
    host item{instance, {instance, {}}, {}, uniform(1, faults_.fastest_clock), 0, 0, 0, uniform(0, 1), {}};
    item.limiter = customer_limiter{instance, clock_of(item)};
    hosts_.push_back(std::move(item));
}

void simulated_fleet::learn(host& item, std::size_t version)
{
    item.version = version;
    item.learns_next = now_ + uniform(0, faults_.learn_seconds);
    const auto& entry = versions_[version];
    item.limiter.apply_version(kernel::version_number{version + 1}, entry.limit, homes(entry), clock_of(item));
}

void simulated_fleet::act(host& item, double expected_requests)
{
    if (!acts(item)) {
        return;
    }
    const auto now = clock_of(item);
    const auto settled = std::min(item.version, settled_at(now_ - item.settled_lag));
    item.limiter.settle(item.delay.update(kernel::version_number{settled + 1}, now), now);
    std::erase_if(item.waiting, [this, &item, now](double arrived) {
        const auto outcome = item.limiter.retry(now);
        if (outcome == admission_outcome::refused && now_ < arrived + longest_wait_seconds) {
            return false;
        }
        decide(item, arrived, outcome);
        return true;
    });
    for (auto count = std::poisson_distribution<int>{expected_requests}(random_); count > 0; --count) {
        if (item.limiter.admit(now) == admission_outcome::admitted) {
            decide(item, now_, admission_outcome::admitted);
        }
        else {
            item.waiting.push_back(now_);
        }
    }
    ask(item);
}

void simulated_fleet::decide(const host& item, double arrived, admission_outcome outcome)
{
    if (outcome == admission_outcome::admitted) {
        ++admissions_;
        window_excess_ += 1;
    }
    else {
        ++refusals_;
    }
    if (notify_) {
        notify_(static_cast<std::size_t>(&item - hosts_.data()), arrived, outcome);
    }
}

void simulated_fleet::ask(host& item)
{
    const auto now = clock_of(item);
    for (const auto& lender : item.limiter.due_lenders(now)) {
        const auto wanted = item.limiter.start_request(lender, ++sequence_, now);
        send({now_, message::direction::request, item.instance, lender, {customer, sequence_, wanted}});
    }
}

void simulated_fleet::send(const message& item)
{
    const auto copies = happens(faults_.duplicate) ? 3 : 1;
    for (auto copy = 0; copy < copies; ++copy) {
        if (!happens(faults_.drop)) {
            messages_.push_back(item);
            messages_.back().due = now_ + (happens(faults_.delay) ? uniform(0, 6) : uniform(0, 0.01));
        }
    }
}

void simulated_fleet::deliver()
{
    std::vector<message> due;
    std::erase_if(messages_, [this, &due](const message& item) {
        if (item.due > now_) {
            return false;
        }
        due.push_back(item);
        return true;
    });
    for (auto& received : due) {
        const auto target = std::find_if(hosts_.begin(), hosts_.end(),
                                         [&received](const host& item) { return item.instance == received.to; });
        if (target == hosts_.end()) {
            continue;
        }
        if (target->frozen_until == std::numeric_limits<double>::infinity()) {
            continue;
        }
        if (now_ < target->frozen_until) {
            received.due = target->frozen_until;
            messages_.push_back(received);
        }
        else if (acts(*target)) {
            receive(*target, received);
        }
    }
}

void simulated_fleet::receive(host& item, const message& received)
{
    const auto now = clock_of(item);
    if (received.kind == message::direction::answer) {
        item.limiter.accept(received.from, received.content, now);
        return;
    }
    const auto granted = item.limiter.lend(received.from, received.content.sequence, received.content.granted, now);
    if (granted) {
        send({now_,
              message::direction::answer,
              item.instance,
              received.from,
              {customer, received.content.sequence, *granted}});
    }
}

std::vector<kernel::instance_id> simulated_fleet::homes(const version_entry& entry) const
{
    return home_selector{entry.instances}.homes(customer, entry.limit.burst);
}

std::size_t simulated_fleet::settled_at(double time) const
{
    std::size_t newest = 0;
    while (newest + 1 < versions_.size() && versions_[newest + 1].settles <= time) {
        ++newest;
    }
    return newest;
}

capacity simulated_fleet::allowed_at(double time) const
{
    capacity allowed;
    for (auto version = settled_at(time - transition_seconds); version <= settled_at(time); ++version) {
        allowed = larger(allowed, versions_[version].limit);
    }
    return allowed;
}

bool simulated_fleet::acts(const host& item) const
{
    return now_ >= item.frozen_until && item.version >= settled_at(now_);
}

kernel::time_point simulated_fleet::clock_of(const host& item) const
{
    return kernel::time_point{} +
           std::chrono::duration_cast<kernel::duration>(std::chrono::duration<double>{1000 + now_ * item.clock_rate});
}

bool simulated_fleet::happens(double probability)
{
    return uniform(0, 1) < probability;
}

double simulated_fleet::uniform(double low, double high)
{
    return std::uniform_real_distribution<double>{low, high}(random_);
}

} // namespace wisterialane::limits
