#include "tests/proxy/service_emulation.h"

namespace wisterialane::proxy {
namespace {

const kernel::service_name service{"certificates"};
constexpr unsigned slots = 6;
constexpr unsigned attempts = 2;
constexpr milliseconds broken_after{2};
constexpr milliseconds observation_pause{250};
constexpr milliseconds telling_pause{500};
constexpr seconds window_length{2};
/// An upstream that failed by itself is taken to be sound again after this time.
constexpr seconds sound_again_after{2};
/// Time in which the hosts learn of the upstreams.
constexpr seconds warm_up{4};

} // namespace

service_emulation::service_emulation(const emulation_options& use) : use_{use}, random_{use.seed}
{
    for (std::size_t place = 0; place < use_.data_centres; ++place) {
        const auto data_centre = "dc" + std::to_string(place);
        for (std::size_t count = 0; count < use_.hosts_per_data_centre; ++count) {
            hosts_.emplace_back(kernel::data_centre_name{data_centre});
        }
        for (std::size_t count = 0; count < use_.upstreams_per_data_centre; ++count) {
            const kernel::upstream_name id{data_centre + "-u" + std::to_string(count)};
            auto& item = upstreams_[id];
            item.id = id;
            item.mode = draw() < use_.losing_part ? emulated_mode::losing_answers : emulated_mode::sound;
            schedule_lapse(item);
        }
    }
    for (auto& host : hosts_) {
        for (const auto& [id, item] : upstreams_) {
            const auto data_centre = id.value().substr(0, id.value().find('-'));
            host.directory.update(make_upstream(id.value(), data_centre, slots));
        }
    }
    at(now_, [this] { arrive(); });
    at(now_, [this] { observe(); });
    at(now_, [this] { tell_results(); });
}

void service_emulation::at(kernel::time_point when, std::function<void()> act)
{
    events_.push({when, ++order_, std::move(act)});
}

void service_emulation::run(seconds length)
{
    const auto end = now_ + length;
    while (!events_.empty() && events_.top().at < end) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.act();
    }
}

void service_emulation::arrive()
{
    emulated_request request;
    request.host = &hosts_[random_() % hosts_.size()];
    request.placement = {service, draw() < use_.repeatable_part, {}};
    send(std::move(request));
    const std::chrono::duration<double> gap{std::exponential_distribution<double>{use_.requests_per_second}(random_)};
    at(now_ + std::chrono::duration_cast<kernel::duration>(gap), [this] { arrive(); });
}

void service_emulation::send(emulated_request request)
{
    const auto chosen = request.host->balancer.choose(request.placement, now_);
    if (!chosen) {
        end_request(request, false);
        return;
    }
    auto& item = **chosen;
    item.in_flight.insert(now_);
    item.last_request_at = now_;
    request.placement.excluded.insert(item.record.id);
    ++request.sends;
    auto& behind = upstreams_.at(item.record.id);
    behind.last_arrival = now_;
    const bool lapsed = now_ >= behind.lapse_begins && now_ < behind.lapse_ends;
    const bool lost = behind.mode == emulated_mode::losing_answers && draw() < use_.loss;
    const std::chrono::duration<double> work = use_.shortest_work + draw() * (use_.longest_work - use_.shortest_work);
    const auto taken = lapsed ? broken_after : std::chrono::duration_cast<milliseconds>(work);
    const auto outcome = lapsed || lost ? exchange_outcome::broken : exchange_outcome::good;
    if (lapsed) {
        behind.last_lapse = now_;
    }
    at(now_ + taken, [this, request = std::move(request), id = behind.id, sent = now_, outcome] {
        end_exchange(request, id, sent, outcome);
    });
}

void service_emulation::end_exchange(emulated_request request, const kernel::upstream_name& id, kernel::time_point sent,
                                     exchange_outcome outcome)
{
    auto& seen = *request.host->directory.find(id);
    seen.in_flight.erase(seen.in_flight.find(sent));
    if (outcome == exchange_outcome::good) {
        seen.latency = now_ - sent;
        seen.health.record(outcome, now_);
        end_request(request, true);
        return;
    }
    for (auto& host : hosts_) {
        host.directory.find(id)->health.record(outcome, now_);
    }
    if (request.placement.repeatable && request.sends < attempts) {
        send(std::move(request));
        return;
    }
    end_request(request, false);
}

void service_emulation::end_request(const emulated_request& request, bool served)
{
    request.host->results.record(service, served ? request_result::served : request_result::unserved, now_);
    ended_.push_back({now_, served});
}

void service_emulation::tell_results()
{
    at(now_ + telling_pause, [this] { tell_results(); });
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
        const auto report = hosts_[from].results.local_report(now_);
        for (std::size_t to = 0; to < hosts_.size(); ++to) {
            if (to != from) {
                hosts_[to].results.record_remote(kernel::host_name{std::to_string(from)}, report, now_);
            }
        }
    }
}

void service_emulation::observe()
{
    at(now_ + observation_pause, [this] { observe(); });
    while (!ended_.empty() && now_ - ended_.front().at > window_length) {
        ended_.pop_front();
    }
    if (now_ - test_start < warm_up) {
        return;
    }
    observed_window window;
    window.end = now_;
    for (const auto& [id, item] : upstreams_) {
        const bool was_sound = now_ - item.last_lapse > sound_again_after + window_length;
        if (item.mode == emulated_mode::sound && was_sound) {
            ++window.sound;
            window.used += now_ - item.last_arrival <= window_length ? 1 : 0;
        }
    }
    window.requests = ended_.size();
    window.unserved =
        static_cast<std::size_t>(std::count_if(ended_.begin(), ended_.end(), [](auto item) { return !item.served; }));
    windows_.push_back(window);
}

void service_emulation::schedule_lapse(emulated_upstream& item)
{
    if (item.mode != emulated_mode::sound) {
        return;
    }
    const std::chrono::duration<double> pause = draw() * 2 * use_.lapse_pause;
    item.lapse_begins = now_ + std::chrono::duration_cast<kernel::duration>(pause);
    item.lapse_ends = item.lapse_begins + use_.lapse_time;
    at(item.lapse_ends, [this, &item] { schedule_lapse(item); });
}

} // namespace wisterialane::proxy
