#include "libraries/proxy/placement/evacuations.h"

#include <utility>

namespace wisterialane::proxy {
namespace {

using name_set = std::set<kernel::data_centre_name>;

void apply(const std::vector<evacuation_row>& rows, name_set& data_centres)
{
    for (const auto& row : rows) {
        if (row.present) {
            data_centres.insert(row.data_centre);
        }
        else {
            data_centres.erase(row.data_centre);
        }
    }
}

void remove_all(name_set& from, const name_set& names)
{
    std::erase_if(from, [&names](const auto& name) { return names.contains(name); });
}

} // namespace

std::set<kernel::data_centre_name> evacuated_data_centres(const std::vector<evacuation_row>& rows)
{
    name_set data_centres;
    apply(rows, data_centres);
    return data_centres;
}

bool evacuations::replace(evacuation_state next, kernel::time_point now)
{
    if (state_ && next.position < state_->position) {
        return false;
    }
    carry_over(next);
    remove_all(next.ended, next.present);
    remove_all(next.kept, next.present);
    remove_all(next.kept, next.ended);
    const auto before = data_centres();
    state_ = std::move(next);
    confirmed_at_ = now;
    return data_centres() != before;
}

// Within an era a row that is no longer present was deleted. In a new era it may have been lost, so it counts until a
// row of the new era says otherwise.
void evacuations::carry_over(evacuation_state& next) const
{
    if (!state_) {
        return;
    }
    if (state_->position.era == next.position.era) {
        next.ended.insert(state_->ended.begin(), state_->ended.end());
        next.ended.insert(state_->present.begin(), state_->present.end());
        next.kept.insert(state_->kept.begin(), state_->kept.end());
        return;
    }
    next.kept.insert(state_->present.begin(), state_->present.end());
    next.kept.insert(state_->kept.begin(), state_->kept.end());
}

bool evacuations::update(const std::vector<evacuation_row>& rows, store_position position, kernel::time_point now)
{
    auto next = state_.value_or(evacuation_state{});
    next.position = position;
    apply(rows, next.present);
    for (const auto& row : rows) {
        if (!row.present) {
            next.ended.insert(row.data_centre);
        }
    }
    return replace(std::move(next), now);
}

std::set<kernel::data_centre_name> evacuations::data_centres() const
{
    if (!state_) {
        return {};
    }
    auto names = state_->present;
    names.insert(state_->kept.begin(), state_->kept.end());
    return names;
}

std::optional<kernel::duration> evacuations::age(kernel::time_point now) const
{
    return state_ ? std::optional{now - confirmed_at_} : std::nullopt;
}

} // namespace wisterialane::proxy
