#pragma once

#include "libraries/health/health_monitor.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wisterialane::health::replay {

/// What is wrong with an upstream in a replay, at a time.
struct upstream_fault {
    double slow_factor = 1;
    double wrong_share = 0;
    bool down = false;
};

/// A choice of upstream and the judgement of its outcomes on one host; the replay runs the same traffic through
/// different ones.
class host_logic {
public:
    host_logic() = default;
    host_logic(const host_logic&) = delete;
    host_logic& operator=(const host_logic&) = delete;
    virtual ~host_logic() = default;

    virtual std::optional<chosen_upstream> choose(const kernel::service_name& service, const kernel::route_name& route,
                                                  const std::unordered_set<kernel::upstream_name>& excluded,
                                                  kernel::time_point now) = 0;
    virtual void finish(choice_handle handle, const outcome& result, kernel::time_point now) = 0;
    virtual void advance(kernel::time_point now) = 0;
    virtual std::vector<evidence_report> reports(kernel::time_point now) = 0;
    virtual void merge(const evidence_report& report, kernel::time_point now) = 0;
    [[nodiscard]] virtual bool needs_evidence(kernel::time_point now) const = 0;
    /// Upstreams ejected since the last call.
    virtual std::vector<kernel::upstream_name> take_ejected() = 0;
    [[nodiscard]] virtual bool quarantined(std::uint64_t fingerprint, kernel::time_point now) const = 0;
    [[nodiscard]] virtual std::vector<service_status> status() const = 0;
};

struct replay_settings {
    unsigned hosts = 40;
    std::vector<unsigned> service_sizes{10, 15, 10};
    unsigned slots = 2;
    unsigned floor_percent = 50;
    /// Offered work as a share of the slots' capacity.
    double load = 0.6;
    kernel::duration service_time = std::chrono::milliseconds{25};
    /// Share of the service time that varies, exponentially distributed; the rest is fixed.
    double variation = 0.3;
    /// Chance that a healthy upstream answers with an error.
    double ordinary_errors = 0.001;
    /// One request in this many goes to a route that takes ten times as long; 0 for none.
    unsigned slow_route_every = 0;
    kernel::duration pull_interval = std::chrono::milliseconds{250};
    kernel::duration response_timeout = std::chrono::seconds{5};
    std::uint64_t seed = 1;
};

struct ejection_seen {
    unsigned host = 0;
    kernel::upstream_name upstream;
    kernel::duration at{};
};

/// A fleet of hosts in front of upstreams on a virtual clock. Upstreams work on `slots` requests at once and queue the
/// rest; each host pulls the reports of a random other one.
class fleet_replay {
public:
    using fault_function = std::function<upstream_fault(unsigned service, unsigned index, kernel::duration at)>;
    /// Extra trouble that one host has with an upstream: the chance that an answer is lost on the way.
    using link_function = std::function<double(unsigned host, unsigned service, unsigned index, kernel::duration at)>;
    using logic_factory = std::function<std::unique_ptr<host_logic>(unsigned host, std::uint64_t seed)>;

    fleet_replay(const replay_settings& settings, const logic_factory& make);

    fault_function faults = [](unsigned, unsigned, kernel::duration) { return upstream_fault{}; };
    link_function lossy_links = [](unsigned, unsigned, unsigned, kernel::duration) { return 0.0; };
    /// Requests with this fingerprint crash each upstream that runs them; one is sent at each of these times and sent
    /// again up to this many times.
    std::vector<kernel::duration> crash_times;
    unsigned crash_repeats = 5;

    /// Runs until the given time since the start.
    void run_until(kernel::duration end);

    [[nodiscard]] const std::vector<ejection_seen>& ejections() const { return ejections_; }

    [[nodiscard]] std::uint64_t requests() const { return requests_; }

    [[nodiscard]] unsigned crashes() const { return crashes_; }

    [[nodiscard]] host_logic& host(unsigned index) { return *hosts_[index]; }

    [[nodiscard]] static kernel::upstream_name name_of(unsigned service, unsigned index);
    [[nodiscard]] static std::vector<service_definition> definitions(const replay_settings& settings);

private:
    struct running_request {
        unsigned host = 0;
        unsigned service = 0;
        unsigned index = 0;
        kernel::route_name route;
        choice_handle handle;
        kernel::duration arrived{};
        std::uint64_t fingerprint = 0;
        unsigned attempt = 0;
        std::unordered_set<kernel::upstream_name> tried;
        bool crashes = false;
        bool ended = false;
    };

    using request_pointer = std::shared_ptr<running_request>;

    struct upstream_queue {
        unsigned busy = 0;
        std::queue<request_pointer> waiting;
        std::vector<request_pointer> running;
        kernel::duration down_until{};
    };

    struct event {
        kernel::duration at{};
        std::uint64_t order = 0;
        std::function<void()> run;
    };

    struct later {
        bool operator()(const event& left, const event& right) const
        {
            return left.at != right.at ? left.at > right.at : left.order > right.order;
        }
    };

    void schedule(kernel::duration at, std::function<void()> run);
    void send_next(unsigned service);
    void send(unsigned host, unsigned service, bool crashes, std::uint64_t fingerprint, unsigned attempt,
              std::unordered_set<kernel::upstream_name> tried);
    void arrive(const request_pointer& request);
    void begin_work(const request_pointer& request);
    void end_work(const request_pointer& request);
    void crash(unsigned service, unsigned index);
    void end(const request_pointer& request, outcome_kind kind);
    void pull(unsigned host);
    void tick(unsigned host);
    [[nodiscard]] upstream_queue& queue_of(const running_request& request);

    [[nodiscard]] kernel::time_point clock() const { return kernel::time_point{std::chrono::hours{1}} + now_; }

    [[nodiscard]] double uniform();
    [[nodiscard]] kernel::duration exponential(kernel::duration mean);

    replay_settings settings_;
    std::mt19937_64 random_;
    kernel::duration now_{};
    std::uint64_t next_order_ = 0;
    std::uint64_t next_fingerprint_ = 1000;
    std::uint64_t requests_ = 0;
    unsigned crashes_ = 0;
    std::priority_queue<event, std::vector<event>, later> events_;
    std::vector<std::unique_ptr<host_logic>> hosts_;
    std::vector<std::vector<upstream_queue>> queues_;
    std::vector<ejection_seen> ejections_;
    std::vector<kernel::duration> next_pulls_;
};

/// The logic of this package behind `host_logic`.
std::unique_ptr<host_logic> make_shared_evidence_host(const replay_settings& settings, unsigned host,
                                                      std::uint64_t seed);

} // namespace wisterialane::health::replay
