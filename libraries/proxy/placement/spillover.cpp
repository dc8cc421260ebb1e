#include "libraries/proxy/placement/spillover.h"

#include "kernel/decision_log.h"

#include <algorithm>
#include <numeric>

namespace wisterialane::proxy {
namespace {

/// Fraction of its slots that a data centre fills before its requests leave, and up to which it takes requests of
/// others. Above it, requests wait in the upstreams' queues: hosts do not know each other's requests, and upstreams
/// slow down when nearly full. The rest also absorbs bursts of the time that a report may be late.
constexpr double clear_utilization = 0.7;
/// Fraction of its slots up to which a data centre takes requests for which another one has no slots at all.
constexpr double tight_utilization = 0.9;
/// A data centre whose requests wait longer than this needs its slots itself. Shorter waits are due to chance.
constexpr kernel::duration clear_waiting_time = std::chrono::milliseconds{100};
/// Cost factor of an upstream in another data centre for small requests.
constexpr double base_remote_cost_factor = 1.5;
/// A body of this size adds as much to the cost factor as a round trip between data centres does, which takes about as
/// long as the transfer of 64 KB at 200 Mbit/s.
constexpr double body_cost_bytes = 64 * 1024;
/// The cost of a body counts up to this many times the one of the round trip.
constexpr double maximum_body_cost = 3;

bool is_known(const spillover_input& input, kernel::time_point now)
{
    return now - input.reported_at <= spillover_input_lifetime;
}

/// Parts of one data centre's demand and slots, in slots.
struct balance {
    /// Demand beyond all of its slots.
    double hard_excess = 0;
    /// Demand that has slots, but beyond the utilization at which requests wait for each other.
    double soft_excess = 0;
    /// Slots that others may use at any time.
    double clear_room = 0;
    /// Slots that others may use if they have none.
    double tight_room = 0;
};

balance balance_of(const spillover_input& input)
{
    const double demand = input.demand_slots;
    const double slots = input.healthy_slots;
    const double clear_slots = clear_utilization * slots;
    balance result;
    result.hard_excess = std::max(0.0, demand - slots);
    result.soft_excess = std::max(0.0, std::min(demand, slots) - clear_slots);
    if (input.waiting <= clear_waiting_time) {
        result.clear_room = std::max(0.0, clear_slots - demand);
        result.tight_room = std::max(0.0, tight_utilization * slots - std::max(demand, clear_slots));
    }
    return result;
}

/// What moves between all data centres: requests without a slot first, into clear room and then into tight room; the
/// others into the clear room that is left.
struct movement {
    double hard_to_clear = 0;
    double hard_to_tight = 0;
    double soft_to_clear = 0;
};

movement move_all(const balance& sum)
{
    movement moved;
    moved.hard_to_clear = std::min(sum.hard_excess, sum.clear_room);
    moved.hard_to_tight = std::min(sum.hard_excess - moved.hard_to_clear, sum.tight_room);
    moved.soft_to_clear = std::min(sum.soft_excess, sum.clear_room - moved.hard_to_clear);
    return moved;
}

double part(double value, double of)
{
    return of > 0 ? value / of : 0;
}

double body_cost(std::uint64_t body_bytes)
{
    return std::min(maximum_body_cost, static_cast<double>(body_bytes) / body_cost_bytes);
}

} // namespace

double spillover_decision::leaving() const
{
    return std::accumulate(shares.begin(), shares.end(), 0.0,
                           [](double sum, const auto& share) { return sum + share.second; });
}

bool spillover_decision::admits_overflow(const kernel::data_centre_name& data_centre) const
{
    const auto found = admits.find(data_centre);
    return !known || found == admits.end() || found->second;
}

spillover_decision decide_spillover(const kernel::data_centre_name& local, const std::vector<spillover_input>& inputs,
                                    kernel::time_point now)
{
    spillover_decision decision;
    const spillover_input* own = nullptr;
    balance sum;
    for (const auto& input : inputs) {
        if (!is_known(input, now)) {
            continue;
        }
        const auto found = balance_of(input);
        sum.hard_excess += found.hard_excess;
        sum.soft_excess += found.soft_excess;
        sum.clear_room += found.clear_room;
        sum.tight_room += found.tight_room;
        if (input.data_centre == local) {
            own = &input;
        }
        else {
            decision.admits[input.data_centre] = found.clear_room > 0;
        }
    }
    if (own == nullptr) {
        return {};
    }
    decision.known = true;
    const auto moved = move_all(sum);
    const auto from = balance_of(*own);
    const double hard_part = part(from.hard_excess, sum.hard_excess);
    const double to_clear =
        hard_part * moved.hard_to_clear + part(from.soft_excess, sum.soft_excess) * moved.soft_to_clear;
    const double to_tight = hard_part * moved.hard_to_tight;
    for (const auto& input : inputs) {
        if (input.data_centre == local || !is_known(input, now)) {
            continue;
        }
        const auto to = balance_of(input);
        const double slots =
            to_clear * part(to.clear_room, sum.clear_room) + to_tight * part(to.tight_room, sum.tight_room);
        if (slots > 0) {
            decision.shares[input.data_centre] = slots / own->demand_slots;
        }
    }
    return decision;
}

std::string shares_text(const spillover_decision& decision)
{
    std::string text;
    for (const auto& [data_centre, share] : decision.shares) {
        text += (text.empty() ? "" : ",") + data_centre.value() + "=" + std::to_string(share);
    }
    return text;
}

std::string inputs_text(const std::vector<spillover_input>& inputs, kernel::time_point now)
{
    std::string text;
    for (const auto& input : inputs) {
        const bool reported = input.reported_at != kernel::time_point{};
        text += (text.empty() ? "" : ",") + input.data_centre.value() + "=" + std::to_string(input.demand_slots) + "/" +
                std::to_string(input.healthy_slots) + "/" + kernel::to_milliseconds_text(input.waiting) + "/" +
                (reported ? kernel::to_milliseconds_text(now - input.reported_at) : "unknown");
    }
    return text;
}

double remote_cost_factor(std::uint64_t body_bytes)
{
    return base_remote_cost_factor + (base_remote_cost_factor - 1) * body_cost(body_bytes);
}

double leaving_threshold(std::uint64_t body_bytes)
{
    return 1 + body_cost(body_bytes);
}

} // namespace wisterialane::proxy
