#include "tests/proxy/spread_emulation.h"

#include "tests/proxy/result_reports.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace wisterialane::proxy {
namespace {

const kernel::service_name service{"certificates"};
constexpr seconds warm_up{5};
constexpr milliseconds report_interval{500};
constexpr double latency_smoothing = 0.2;

std::string data_centre_of(std::size_t index, std::size_t data_centres)
{
    return "dc" + std::to_string(index % data_centres);
}

} // namespace

spread_emulation::spread_emulation(const spread_options& options) : options_{options}, random_{options.seed}
{
    std::vector<upstream_record> records;
    std::uniform_real_distribution<double> slowness{1, options_.speed_range};
    for (std::size_t index = 0; index < options_.upstreams; ++index) {
        const auto data_centre = data_centre_of(index, options_.data_centres);
        records.push_back(make_upstream("u" + std::to_string(index), data_centre, options_.slots));
        auto& added = upstreams_[records.back().id];
        added.id = records.back().id;
        added.execution = std::chrono::duration_cast<kernel::duration>(slowness(random_) * options_.fastest_execution);
    }
    std::vector<double> weights;
    std::uniform_real_distribution<double> weight{1, options_.host_skew};
    for (std::size_t index = 0; index < options_.hosts; ++index) {
        auto& added = hosts_.emplace_back(kernel::data_centre_name{data_centre_of(index, options_.data_centres)});
        added.balancer.set_active_position(active_position{index, options_.hosts}, events_.now());
        added.directory.set_order_seed(index + 1);
        for (const auto& record : records) {
            added.directory.update(record, events_.now());
        }
        const bool first = index % options_.data_centres == 0;
        weights.push_back((options_.host_skew > 1 ? weight(random_) : 1) * (first ? options_.first_data_centre : 1));
    }
    host_choice_ = std::discrete_distribution<std::size_t>{weights.begin(), weights.end()};
    events_.schedule(events_.now(), [this] { receive(); });
    events_.schedule(events_.now(), [this] { share_results(); });
}

bool spread_emulation::is_warm() const
{
    return events_.now() - test_start >= warm_up;
}

void spread_emulation::receive()
{
    const std::chrono::duration<double> interval{
        std::exponential_distribution<double>{options_.requests_per_second}(random_)};
    events_.schedule(events_.now() + std::chrono::duration_cast<kernel::duration>(interval), [this] { receive(); });
    auto& at = hosts_[host_choice_(random_)];
    at.results.record_demand(service, at.balancer.service_latency(service), events_.now());
    const auto chosen = at.balancer.choose({service, true, {}}, events_.now());
    if (!chosen) {
        refused_ += is_warm() ? 1 : 0;
        return;
    }
    (*chosen)->in_flight.insert(events_.now());
    (*chosen)->last_request_at = events_.now();
    if (is_warm()) {
        const bool leaves = (*chosen)->record.data_centre != at.data_centre;
        const bool first = at.data_centre == hosts_.front().data_centre;
        ++placed_[{first, leaves}];
        auto& [all, left] = placed_by_second_[std::chrono::floor<seconds>(events_.now()).time_since_epoch().count()];
        all += first ? 1 : 0;
        left += first && leaves ? 1 : 0;
    }
    auto& target = upstreams_.at((*chosen)->record.id);
    target.requests += is_warm() ? 1 : 0;
    const exchange sent{&at, events_.now()};
    if (target.running < options_.slots) {
        begin(target, sent);
    }
    else {
        target.queue.push_back(sent);
    }
}

void spread_emulation::begin(upstream& at, const exchange& begun)
{
    ++at.running;
    const double factor = at.running == options_.slots ? options_.full_factor : 1;
    const auto spread = std::uniform_real_distribution<double>{0.5, 1.5}(random_);
    const auto execution = std::chrono::duration_cast<kernel::duration>(factor * spread * at.execution);
    events_.schedule(events_.now() + execution, [this, &at, begun] { end(at, begun); });
}

void spread_emulation::end(upstream& at, const exchange& ended)
{
    auto& known = *ended.from->directory.find(at.id);
    known.in_flight.erase(known.in_flight.find(ended.sent_at));
    const auto elapsed = events_.now() - ended.sent_at;
    const auto before = known.latency > kernel::duration::zero() ? known.latency : elapsed;
    known.latency =
        std::chrono::duration_cast<kernel::duration>((1 - latency_smoothing) * before + latency_smoothing * elapsed);
    known.last_response_at = events_.now();
    known.health.record(exchange_outcome::good, events_.now());
    ended.from->results.record(service, request_result::served, events_.now());
    if (is_warm()) {
        ++answered_;
        latency_sum_ += elapsed;
    }
    --at.running;
    if (!at.queue.empty()) {
        const auto next = at.queue.front();
        at.queue.pop_front();
        begin(at, next);
    }
}

void spread_emulation::share_results()
{
    events_.schedule(events_.now() + report_interval, [this] { share_results(); });
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
        deliver_report(hosts_, from, events_.now());
        auto& sender = hosts_[from];
        const auto slots = sender.balancer.healthy_slots(service, events_.now());
        const service_supplies supplies{{service, {slots.at(sender.data_centre), milliseconds{0}}}};
        deliver_supplies(hosts_, from, supplies, events_.now());
    }
}

double spread_emulation::leaving_fraction(bool first) const
{
    const auto count = [&](bool leaves) {
        const auto found = placed_.find({first, leaves});
        return found == placed_.end() ? 0.0 : static_cast<double>(found->second);
    };
    return count(true) / std::max(1.0, count(true) + count(false));
}

double spread_emulation::largest_change() const
{
    double largest = 0;
    std::optional<double> before;
    for (const auto& [second, counts] : placed_by_second_) {
        const double part = static_cast<double>(counts.second) / std::max(1.0, static_cast<double>(counts.first));
        largest = std::max(largest, std::abs(part - before.value_or(part)));
        before = part;
    }
    return largest;
}

double spread_emulation::busiest_to_mean() const
{
    std::size_t sum = 0;
    std::size_t most = 0;
    for (const auto& [id, at] : upstreams_) {
        sum += at.requests;
        most = std::max(most, at.requests);
    }
    return static_cast<double>(most * upstreams_.size()) / static_cast<double>(std::max<std::size_t>(1, sum));
}

std::chrono::duration<double> spread_emulation::mean_latency() const
{
    return std::chrono::duration<double>{latency_sum_} / static_cast<double>(std::max<std::size_t>(1, answered_));
}

} // namespace wisterialane::proxy
