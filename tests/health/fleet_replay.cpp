#include "tests/health/fleet_replay.h"

#include <algorithm>
#include <utility>

namespace wisterialane::health::replay {
namespace {

constexpr kernel::duration one_way = std::chrono::microseconds{500};
constexpr kernel::duration crash_down_time = std::chrono::milliseconds{800};

class shared_evidence_host : public host_logic {
public:
    shared_evidence_host(const replay_settings& settings, unsigned host, std::uint64_t seed)
        : monitor_{kernel::instance_id{"host" + std::to_string(host)},
                   [generator = std::mt19937_64{seed}]() mutable { return generator(); }}
    {
        monitor_.configure(fleet_replay::definitions(settings), kernel::time_point{std::chrono::hours{1}});
    }

    std::optional<chosen_upstream> choose(const kernel::service_name& service, const kernel::route_name& route,
                                          const std::unordered_set<kernel::upstream_name>& excluded,
                                          kernel::time_point now) override
    {
        auto chosen = monitor_.choose(service, route, excluded, now);
        if (!chosen) {
            return std::nullopt;
        }
        monitor_.request_sent(chosen->handle, now);
        return *chosen;
    }

    void finish(choice_handle handle, const outcome& result, kernel::time_point now) override
    {
        monitor_.finish(handle, result, now);
    }

    void advance(kernel::time_point now) override { monitor_.advance(now); }

    std::vector<evidence_report> reports(kernel::time_point now) override { return monitor_.make_reports(now); }

    void merge(const evidence_report& report, kernel::time_point now) override { monitor_.merge_report(report, now); }

    [[nodiscard]] bool needs_evidence(kernel::time_point now) const override { return monitor_.needs_evidence(now); }

    std::vector<kernel::upstream_name> take_ejected() override
    {
        std::vector<kernel::upstream_name> names;
        for (const auto& change : monitor_.take_transitions()) {
            if (change.event == health_event::upstream_ejected) {
                names.push_back(change.upstream);
            }
        }
        return names;
    }

    [[nodiscard]] bool quarantined(std::uint64_t fingerprint, kernel::time_point now) const override
    {
        return monitor_.is_quarantined(fingerprint, now);
    }

    [[nodiscard]] std::vector<service_status> status() const override { return monitor_.status(); }

private:
    health_monitor monitor_;
};

} // namespace

std::unique_ptr<host_logic> make_shared_evidence_host(const replay_settings& settings, unsigned host,
                                                      std::uint64_t seed)
{
    return std::make_unique<shared_evidence_host>(settings, host, seed);
}

kernel::upstream_name fleet_replay::name_of(unsigned service, unsigned index)
{
    return kernel::upstream_name{"s" + std::to_string(service) + "-u" + std::to_string(index)};
}

std::vector<service_definition> fleet_replay::definitions(const replay_settings& settings)
{
    std::vector<service_definition> list;
    for (unsigned service = 0; service < settings.service_sizes.size(); ++service) {
        service_definition definition{kernel::service_name{"s" + std::to_string(service)}, settings.floor_percent, {}};
        for (unsigned index = 0; index < settings.service_sizes[service]; ++index) {
            definition.upstreams.push_back(
                {name_of(service, index), kernel::socket_address{"127.0.0.1:1"}, settings.slots});
        }
        list.push_back(std::move(definition));
    }
    return list;
}

fleet_replay::fleet_replay(const replay_settings& settings, const logic_factory& make)
    : settings_{settings}, random_{settings.seed}
{
    next_pulls_.resize(settings.hosts);
    for (unsigned host = 0; host < settings.hosts; ++host) {
        hosts_.push_back(make(host, random_()));
        schedule(std::chrono::nanoseconds{random_() % 50'000'000}, [this, host] { tick(host); });
        schedule(std::chrono::nanoseconds{random_() % 250'000'000}, [this, host] { pull(host); });
    }
    for (unsigned service = 0; service < settings.service_sizes.size(); ++service) {
        queues_.emplace_back(settings.service_sizes[service]);
        schedule({}, [this, service] { send_next(service); });
    }
}

void fleet_replay::schedule(kernel::duration at, std::function<void()> run)
{
    events_.push({at, next_order_++, std::move(run)});
}

void fleet_replay::run_until(kernel::duration end)
{
    for (const auto at : crash_times) {
        schedule(at, [this] {
            send(static_cast<unsigned>(random_() % settings_.hosts), 0, true, next_fingerprint_++, 0, {});
        });
    }
    crash_times.clear();
    while (!events_.empty() && events_.top().at <= end) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.run();
    }
    now_ = end;
}

double fleet_replay::uniform()
{
    return std::uniform_real_distribution<double>{0, 1}(random_);
}

kernel::duration fleet_replay::exponential(kernel::duration mean)
{
    const double value = std::exponential_distribution<double>{1}(random_);
    return kernel::duration{static_cast<kernel::duration::rep>(value * static_cast<double>(mean.count()))};
}

void fleet_replay::send_next(unsigned service)
{
    const double capacity = static_cast<double>(settings_.service_sizes[service] * settings_.slots);
    // The slow route takes ten times as long, so the mean work per request is larger with it.
    const double work = settings_.slow_route_every == 0 ? 1.0 : 1.0 + 9.0 / settings_.slow_route_every;
    const double seconds = std::chrono::duration<double>(settings_.service_time).count() * work;
    const auto mean = std::chrono::duration<double>{seconds / (capacity * settings_.load)};
    schedule(now_ + exponential(std::chrono::duration_cast<kernel::duration>(mean)),
             [this, service] { send_next(service); });
    send(static_cast<unsigned>(random_() % settings_.hosts), service, false, next_fingerprint_++, 0, {});
}

void fleet_replay::send(unsigned host, unsigned service, bool crashes, std::uint64_t fingerprint, unsigned attempt,
                        std::unordered_set<kernel::upstream_name> tried)
{
    if (hosts_[host]->quarantined(fingerprint, clock())) {
        return;
    }
    const bool is_slow_route = settings_.slow_route_every != 0 && fingerprint % settings_.slow_route_every == 0;
    const kernel::route_name route{is_slow_route ? "slow" : "fast"};
    const auto chosen =
        hosts_[host]->choose(kernel::service_name{"s" + std::to_string(service)}, route, tried, clock());
    ++requests_;
    if (!chosen) {
        return;
    }
    auto request = std::make_shared<running_request>();
    request->host = host;
    request->service = service;
    request->index = static_cast<unsigned>(std::stoul(chosen->name.value().substr(chosen->name.value().find('u') + 1)));
    request->route = route;
    request->handle = chosen->handle;
    request->arrived = now_;
    request->fingerprint = fingerprint;
    request->attempt = attempt;
    request->tried = std::move(tried);
    request->tried.insert(chosen->name);
    request->crashes = crashes;
    schedule(now_ + one_way, [this, request] { arrive(request); });
    schedule(now_ + settings_.response_timeout, [this, request] { end(request, outcome_kind::response_timeout); });
}

fleet_replay::upstream_queue& fleet_replay::queue_of(const running_request& request)
{
    return queues_[request.service][request.index];
}

void fleet_replay::arrive(const request_pointer& request)
{
    auto& queue = queue_of(*request);
    if (now_ < queue.down_until || faults(request->service, request->index, now_).down) {
        end(request, outcome_kind::connect_refused);
        return;
    }
    if (queue.busy < settings_.slots) {
        begin_work(request);
    }
    else {
        queue.waiting.push(request);
    }
}

void fleet_replay::begin_work(const request_pointer& request)
{
    auto& queue = queue_of(*request);
    ++queue.busy;
    queue.running.push_back(request);
    if (request->crashes) {
        crash(request->service, request->index);
        return;
    }
    const auto fault = faults(request->service, request->index, now_);
    const double mean = std::chrono::duration<double, std::nano>(settings_.service_time).count();
    double work = mean * (1 - settings_.variation) +
                  static_cast<double>(exponential(settings_.service_time).count()) * settings_.variation;
    work *= fault.slow_factor * (request->route.value() == "slow" ? 10 : 1);
    schedule(now_ + kernel::duration{static_cast<kernel::duration::rep>(work)}, [this, request] { end_work(request); });
}

void fleet_replay::end_work(const request_pointer& request)
{
    auto& queue = queue_of(*request);
    const auto running = std::find(queue.running.begin(), queue.running.end(), request);
    if (running == queue.running.end()) {
        return;
    }
    queue.running.erase(running);
    --queue.busy;
    const auto fault = faults(request->service, request->index, now_);
    const bool is_lost = uniform() < lossy_links(request->host, request->service, request->index, now_);
    const bool is_wrong = uniform() < fault.wrong_share || uniform() < settings_.ordinary_errors;
    const auto kind = is_lost ? outcome_kind::cut : (is_wrong ? outcome_kind::error : outcome_kind::good);
    schedule(now_ + one_way, [this, request, kind] { end(request, kind); });
    while (queue.busy < settings_.slots && !queue.waiting.empty()) {
        const auto next = queue.waiting.front();
        queue.waiting.pop();
        if (!next->ended) {
            begin_work(next);
        }
    }
}

void fleet_replay::crash(unsigned service, unsigned index)
{
    ++crashes_;
    auto& queue = queues_[service][index];
    queue.down_until = now_ + crash_down_time;
    auto victims = std::exchange(queue.running, {});
    while (!queue.waiting.empty()) {
        victims.push_back(queue.waiting.front());
        queue.waiting.pop();
    }
    queue.busy = 0;
    for (const auto& victim : victims) {
        schedule(now_ + one_way, [this, victim] { end(victim, outcome_kind::crashed); });
    }
}

void fleet_replay::end(const request_pointer& request, outcome_kind kind)
{
    if (request->ended) {
        return;
    }
    request->ended = true;
    hosts_[request->host]->finish(request->handle, {kind, now_ - request->arrived, request->fingerprint}, clock());
    const bool is_repeated = kind == outcome_kind::crashed || kind == outcome_kind::connect_refused;
    if (is_repeated && request->attempt < crash_repeats) {
        // A request that crashed is sent again by its caller, to any host; one that was refused by this host.
        const auto host =
            kind == outcome_kind::crashed ? static_cast<unsigned>(random_() % settings_.hosts) : request->host;
        const auto wait = kind == outcome_kind::crashed ? kernel::duration{std::chrono::milliseconds{100}} : one_way;
        schedule(now_ + wait, [this, request, host] {
            send(host, request->service, request->crashes, request->fingerprint, request->attempt + 1, request->tried);
        });
    }
}

void fleet_replay::pull(unsigned host)
{
    schedule(now_ + health_monitor::urgent_pull_interval, [this, host] { pull(host); });
    if (now_ < next_pulls_[host] && !hosts_[host]->needs_evidence(clock())) {
        return;
    }
    next_pulls_[host] = now_ + settings_.pull_interval;
    const auto peer = static_cast<unsigned>(random_() % settings_.hosts);
    if (peer == host) {
        return;
    }
    schedule(now_ + std::chrono::milliseconds{2}, [this, host, reports = hosts_[peer]->reports(clock())] {
        for (const auto& report : reports) {
            hosts_[host]->merge(report, clock());
        }
    });
}

void fleet_replay::tick(unsigned host)
{
    schedule(now_ + health_monitor::advance_interval, [this, host] { tick(host); });
    hosts_[host]->advance(clock());
    for (auto& name : hosts_[host]->take_ejected()) {
        ejections_.push_back({host, std::move(name), now_});
    }
}

} // namespace wisterialane::health::replay
