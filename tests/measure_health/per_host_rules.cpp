#include "tests/measure_health/per_host_rules.h"

#include <algorithm>
#include <cmath>

namespace wisterialane::health::replay {
namespace {

constexpr unsigned consecutive_failures = 5;
constexpr double deviations = 1.9;
constexpr unsigned minimum_requests = 5;
constexpr double largest_ejected_share = 0.1;
constexpr kernel::duration ejection_time = std::chrono::seconds{30};
constexpr kernel::duration interval = std::chrono::seconds{10};

class per_host_rules : public host_logic {
public:
    per_host_rules(const replay_settings& settings, std::uint64_t seed) : random_{seed}
    {
        for (const auto& definition : fleet_replay::definitions(settings)) {
            auto& service = services_[definition.name];
            service.balance.configure(definition);
            for (const auto& upstream : definition.upstreams) {
                service.upstreams[upstream.name] = {};
            }
        }
    }

    std::optional<chosen_upstream> choose(const kernel::service_name& service, const kernel::route_name&,
                                          const std::unordered_set<kernel::upstream_name>& excluded,
                                          kernel::time_point now) override
    {
        auto& state = services_[service];
        const auto weight = [&](const kernel::upstream_name& name) {
            return now < state.upstreams[name].ejected_until ? 0.0 : 1.0;
        };
        auto name = state.balance.choose(
            weight, excluded, [this] { return random_(); }, now);
        if (!name) {
            return std::nullopt;
        }
        state.balance.started(*name);
        const choice_handle handle{++last_handle_};
        choices_[handle] = {service, *name};
        return chosen_upstream{*name, kernel::socket_address{}, handle};
    }

    void finish(choice_handle handle, const outcome& result, kernel::time_point now) override
    {
        const auto found = choices_.find(handle);
        const auto [service, name] = found->second;
        choices_.erase(found);
        auto& state = services_[service];
        auto& upstream = state.upstreams[name];
        state.balance.finished(name);
        ++upstream.requests;
        if (result.kind == outcome_kind::good) {
            state.balance.observe_latency(name, result.latency, now);
            upstream.failures_in_row = 0;
            ++upstream.successes;
        }
        else if (++upstream.failures_in_row >= consecutive_failures) {
            eject(state, name, now);
        }
    }

    void advance(kernel::time_point now) override
    {
        if (now - last_interval_ < interval) {
            return;
        }
        last_interval_ = now;
        for (auto& [name, state] : services_) {
            eject_outliers(state, now);
        }
    }

    std::vector<evidence_report> reports(kernel::time_point) override { return {}; }

    void merge(const evidence_report&, kernel::time_point) override {}

    [[nodiscard]] bool needs_evidence(kernel::time_point) const override { return false; }

    std::vector<kernel::upstream_name> take_ejected() override { return std::exchange(ejected_, {}); }

    [[nodiscard]] bool quarantined(std::uint64_t, kernel::time_point) const override { return false; }

    [[nodiscard]] std::vector<service_status> status() const override { return {}; }

private:
    struct upstream_state {
        unsigned failures_in_row = 0;
        unsigned requests = 0;
        unsigned successes = 0;
        kernel::time_point ejected_until;
    };

    struct service_state {
        balancer balance;
        std::unordered_map<kernel::upstream_name, upstream_state> upstreams;
    };

    void eject(service_state& state, const kernel::upstream_name& name, kernel::time_point now)
    {
        const auto out = std::count_if(state.upstreams.begin(), state.upstreams.end(),
                                       [&](const auto& entry) { return now < entry.second.ejected_until; });
        const double allowed = std::max(1.0, largest_ejected_share * static_cast<double>(state.upstreams.size()));
        if (now < state.upstreams[name].ejected_until || static_cast<double>(out) >= allowed) {
            return;
        }
        state.upstreams[name].ejected_until = now + ejection_time;
        state.upstreams[name].failures_in_row = 0;
        ejected_.push_back(name);
    }

    void eject_outliers(service_state& state, kernel::time_point now)
    {
        std::vector<std::pair<double, kernel::upstream_name>> rates;
        double sum = 0;
        double squares = 0;
        for (auto& [name, upstream] : state.upstreams) {
            if (upstream.requests >= minimum_requests) {
                const double rate = static_cast<double>(upstream.successes) / upstream.requests;
                rates.emplace_back(rate, name);
                sum += rate;
                squares += rate * rate;
            }
            upstream.requests = 0;
            upstream.successes = 0;
        }
        if (rates.size() < 3) {
            return;
        }
        const double count = static_cast<double>(rates.size());
        const double mean = sum / count;
        const double deviation = std::sqrt(std::max(0.0, squares / count - mean * mean));
        for (const auto& [rate, name] : rates) {
            if (rate < mean - deviations * deviation) {
                eject(state, name, now);
            }
        }
    }

    std::mt19937_64 random_;
    std::unordered_map<kernel::service_name, service_state> services_;
    std::unordered_map<choice_handle, std::pair<kernel::service_name, kernel::upstream_name>> choices_;
    std::uint64_t last_handle_ = 0;
    kernel::time_point last_interval_;
    std::vector<kernel::upstream_name> ejected_;
};

} // namespace

std::unique_ptr<host_logic> make_per_host_rules(const replay_settings& settings, unsigned, std::uint64_t seed)
{
    return std::make_unique<per_host_rules>(settings, seed);
}

} // namespace wisterialane::health::replay
