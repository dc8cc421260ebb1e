#pragma once

#include "libraries/limits/customer_limiter.h"
#include "libraries/limits/home_selector.h"
#include "libraries/limits/settling_delay.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <utility>
#include <vector>

namespace wisterialane::limits {

/// What a simulated run may do besides serving requests; probabilities are per message or per simulated second.
struct fleet_faults {
    double drop = 0;
    double duplicate = 0;
    /// Probability that a message takes up to six seconds.
    double delay = 0;
    double freeze = 0;
    double replace = 0;
    double new_limit = 0;
    /// Longest time that a host takes to learn of a version.
    double learn_seconds = 0.5;
    /// Clock rates are between 1 and this.
    double fastest_clock = 1;
};

/// Hosts that serve one customer on a virtual clock, with a network and a configuration log that obeys design.md 8.1: a
/// host acts only while it holds the newest settled version. Times are seconds of an exact clock; hosts see their own.
class simulated_fleet {
public:
    simulated_fleet(std::uint32_t seed, std::size_t host_count, const capacity& limit, const fleet_faults& faults);

    /// Runs for this time with requests at `requests_per_second`, of which each host gets a part by its weight; a host
    /// beyond the end of `weights` gets none.
    void run(double seconds, double requests_per_second, const std::vector<double>& weights);

    /// Called for each request when it is decided, with the time of its arrival.
    using observer = std::function<void(std::size_t host_index, double arrived, admission_outcome outcome)>;

    void observe_requests(observer notify) { notify_ = std::move(notify); }

    /// Stops a host for good. The roster without it is published after the three seconds of its detection.
    void kill(std::size_t host_index);

    [[nodiscard]] std::size_t admissions() const { return admissions_; }

    [[nodiscard]] std::size_t refusals() const { return refusals_; }

    /// The largest number of admissions above burst + rate * length in any window, if at some moment a burst of
    /// requests had taken all tokens of all hosts; at most 0 if the promise holds. While a changed limit takes effect,
    /// the larger one counts.
    [[nodiscard]] double worst_excess() const { return worst_excess_; }

    /// Whether the host is a home of the customer in the newest version.
    [[nodiscard]] bool is_home(std::size_t host_index) const;

private:
    struct version_entry {
        std::vector<kernel::instance_id> instances;
        capacity limit;
        double settles = 0;
    };

    struct host {
        kernel::instance_id instance;
        customer_limiter limiter;
        settling_delay delay;
        double clock_rate = 1;
        std::size_t version = 0;
        double learns_next = 0;
        double frozen_until = 0;
        double settled_lag = 0;
        /// Arrival times of the requests that wait for a token.
        std::vector<double> waiting;
    };

    struct message {
        enum class direction { request, answer };

        double due = 0;
        direction kind = direction::request;
        kernel::instance_id from;
        kernel::instance_id to;
        loan content;
    };

    void step(double requests_per_second, const std::vector<double>& weights);
    void publish(const std::vector<kernel::instance_id>& instances, const capacity& limit);
    void inject_faults();
    void add_host();
    void learn(host& item, std::size_t version);
    void act(host& item, double expected_requests);
    void ask(host& item);
    void decide(const host& item, double arrived, admission_outcome outcome);
    void send(const message& item);
    void deliver();
    void measure_excess();
    void receive(host& item, const message& received);

    [[nodiscard]] std::vector<kernel::instance_id> homes(const version_entry& entry) const;
    [[nodiscard]] std::size_t settled_at(double time) const;
    [[nodiscard]] capacity allowed_at(double time) const;
    [[nodiscard]] bool acts(const host& item) const;
    [[nodiscard]] kernel::time_point clock_of(const host& item) const;
    [[nodiscard]] bool happens(double probability);
    [[nodiscard]] double uniform(double low, double high);

    std::mt19937 random_;
    fleet_faults faults_;
    double now_ = 0;
    std::vector<version_entry> versions_;
    std::vector<host> hosts_;
    std::vector<message> messages_;
    std::uint64_t sequence_ = 0;
    observer notify_;
    double roster_change_due_ = 0;
    std::size_t admissions_ = 0;
    std::size_t refusals_ = 0;
    /// The largest value over all windows that end now of admissions - rate * length - burst.
    double window_excess_;
    double worst_excess_ = 0;
};

} // namespace wisterialane::limits
