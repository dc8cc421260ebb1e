#pragma once

#include "tests/proxy/proxy_fixture.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace wisterialane::proxy {

/// What an emulated upstream does with its requests.
enum class emulated_mode {
    sound,
    /// Runs each request and loses `loss` of the answers.
    losing_answers,
};

struct emulation_options {
    unsigned seed = 1;
    std::size_t data_centres = 4;
    std::size_t hosts_per_data_centre = 2;
    std::size_t upstreams_per_data_centre = 18;
    double requests_per_second = 105;
    /// Part of the requests that may be repeated, with two attempts.
    double repeatable_part = 0.75;
    milliseconds shortest_work{200};
    milliseconds longest_work{900};
    /// Part of the upstreams that lose answers, and of these the part that is lost.
    double losing_part = 0.85;
    double loss = 0.25;
    /// Sound upstreams reset all requests for a moment, each at a random time, this often in the mean.
    seconds lapse_pause{8};
    milliseconds lapse_time{300};
};

/// Two seconds of the service as callers and upstreams see it.
struct observed_window {
    kernel::time_point end;
    std::size_t sound = 0;
    /// Sound upstreams that got a request.
    std::size_t used = 0;
    std::size_t requests = 0;
    std::size_t unserved = 0;

    [[nodiscard]] double used_part() const { return static_cast<double>(used) / static_cast<double>(sound); }

    [[nodiscard]] double unserved_part() const
    {
        return static_cast<double>(unserved) / static_cast<double>(std::max<std::size_t>(1, requests));
    }
};

/// One service between the balancers of several hosts, which tell one another of failures at once, in virtual time.
class service_emulation {
public:
    explicit service_emulation(const emulation_options& use);

    void run(seconds length);

    /// All windows of two seconds, one each quarter of a second, after the first seconds.
    [[nodiscard]] const std::vector<observed_window>& windows() const { return windows_; }

private:
    struct emulated_host {
        kernel::data_centre_name data_centre;
        upstream_directory directory{[](const auto&, auto) {}};
        service_results results;
        load_balancer balancer{directory, results, data_centre};

        explicit emulated_host(kernel::data_centre_name where) : data_centre{std::move(where)} {}
    };

    struct emulated_upstream {
        kernel::upstream_name id;
        emulated_mode mode = emulated_mode::sound;
        kernel::time_point lapse_begins{};
        kernel::time_point lapse_ends{};
        kernel::time_point last_lapse{};
        kernel::time_point last_arrival{};
    };

    struct emulated_request {
        emulated_host* host = nullptr;
        selection_request placement;
        unsigned sends = 0;
    };

    struct ended_request {
        kernel::time_point at;
        bool served = false;
    };

    struct event {
        kernel::time_point at;
        std::uint64_t order = 0;
        std::function<void()> act;

        bool operator>(const event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void at(kernel::time_point when, std::function<void()> act);
    void arrive();
    void send(emulated_request request);
    void end_exchange(emulated_request request, const kernel::upstream_name& id, kernel::time_point sent,
                      exchange_outcome outcome);
    void end_request(const emulated_request& request, bool served);
    void tell_results();
    void observe();
    void schedule_lapse(emulated_upstream& item);

    [[nodiscard]] double draw() { return std::uniform_real_distribution<double>{0, 1}(random_); }

    emulation_options use_;
    std::mt19937 random_;
    kernel::time_point now_ = test_start;
    std::deque<emulated_host> hosts_;
    std::map<kernel::upstream_name, emulated_upstream> upstreams_;
    std::deque<ended_request> ended_;
    std::vector<observed_window> windows_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
};

} // namespace wisterialane::proxy
