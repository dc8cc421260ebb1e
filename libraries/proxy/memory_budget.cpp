#include "libraries/proxy/memory_budget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace wisterialane::proxy {
namespace {

/// Parts of the budget for each `memory_use`. That of large requests is the greatest, because a request is held until
/// its response has been received.
constexpr std::array<double, 4> use_shares{0.45, 0.25, 0.2, 0.1};

} // namespace

memory_reservation::memory_reservation(memory_reservation&& other) noexcept
    : budget_{std::move(other.budget_)}, use_{other.use_}, bytes_{std::exchange(other.bytes_, 0)}
{}

memory_reservation& memory_reservation::operator=(memory_reservation&& other) noexcept
{
    if (this != &other) {
        release();
        budget_ = std::move(other.budget_);
        use_ = other.use_;
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

memory_reservation::~memory_reservation()
{
    release();
}

std::size_t memory_reservation::missing(std::size_t bytes, memory_use use) const
{
    const auto kept = use == use_ ? bytes_ : 0;
    return bytes > kept ? bytes - kept : 0;
}

bool memory_reservation::resize(memory_budget& budget, std::size_t bytes, memory_use use, std::size_t spared)
{
    const auto more = missing(bytes, use);
    if (more > 0 && !budget.is_available(more + spared, use)) {
        return false;
    }
    const auto previous_use = std::exchange(use_, use);
    const auto previous_bytes = std::exchange(bytes_, bytes);
    budget_ = budget.shared_from_this();
    budget.give_back(previous_bytes, previous_use);
    budget.take(bytes, use);
    budget.notify_waiting(previous_use);
    return true;
}

void memory_reservation::release()
{
    if (const auto budget = std::exchange(budget_, nullptr)) {
        budget->give_back(std::exchange(bytes_, 0), use_);
        budget->notify_waiting(use_);
    }
}

void memory_budget::waiting_position::leave()
{
    if (const auto budget = std::exchange(budget_, nullptr)) {
        budget->part_for(use_).waiting.remove(this);
    }
}

void memory_budget::set_capacity(std::size_t bytes)
{
    capacity_ = bytes;
    for (std::size_t index = 0; index < use_count; ++index) {
        notify_waiting(static_cast<memory_use>(index));
    }
}

std::size_t memory_budget::used() const
{
    return std::accumulate(parts_.begin(), parts_.end(), std::size_t{0},
                           [](std::size_t sum, const auto& each) { return sum + each.used; });
}

std::size_t memory_budget::capacity(memory_use use) const
{
    return static_cast<std::size_t>(static_cast<double>(capacity_) * use_shares[static_cast<std::size_t>(use)]);
}

bool memory_budget::is_available(std::size_t bytes, memory_use use) const
{
    const auto used = parts_[static_cast<std::size_t>(use)].used;
    const auto limit = capacity(use);
    return used <= limit && bytes <= limit - used;
}

void memory_budget::wait(waiting_position& position, std::size_t bytes, memory_use use, std::function<void()> available)
{
    position.leave();
    position.budget_ = shared_from_this();
    position.use_ = use;
    position.bytes_ = bytes;
    position.available_ = std::move(available);
    part_for(use).waiting.push_back(&position);
}

void memory_budget::take(std::size_t bytes, memory_use use)
{
    part_for(use).used += bytes;
    peak_ = std::max(peak_, used());
}

void memory_budget::give_back(std::size_t bytes, memory_use use)
{
    part_for(use).used -= bytes;
}

// What those in front will reserve is counted for those behind them.
void memory_budget::notify_waiting(memory_use use)
{
    auto& waiting = part_for(use).waiting;
    std::size_t promised = 0;
    while (!waiting.empty() && is_available(promised + waiting.front()->bytes_, use)) {
        auto* next = waiting.front();
        waiting.pop_front();
        next->budget_ = nullptr;
        promised += next->bytes_;
        const auto available = std::exchange(next->available_, nullptr);
        available();
    }
}

} // namespace wisterialane::proxy
