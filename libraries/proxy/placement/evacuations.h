#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/proxy/store/store_position.h"

#include <optional>
#include <set>
#include <vector>

namespace wisterialane::proxy {

/// A row of the store that evacuates a data centre, or the removal of such a row.
struct evacuation_row {
    kernel::data_centre_name data_centre;
    /// Whether the row exists.
    bool present = true;
    /// Whether its value can be read. The row evacuates the data centre even if it cannot.
    bool readable = true;
};

/// What is known of the evacuations at a position of the store's history. A data centre is in one set at most.
struct evacuation_state {
    store_position position;
    /// Data centres whose rows are present.
    std::set<kernel::data_centre_name> present;
    /// Data centres whose rows were deleted in this era.
    std::set<kernel::data_centre_name> ended;
    /// Data centres that were evacuated in an earlier era and whose rows have neither been written nor deleted in this
    /// one. They stay evacuated, because the store may have lost their rows.
    std::set<kernel::data_centre_name> kept;

    friend bool operator==(const evacuation_state&, const evacuation_state&) = default;
};

/// The data centres whose upstreams may receive no requests, as the store or a relay of it last listed them.
class evacuations {
public:
    /// Takes over a complete state of the store, read or relayed, unless a newer one is known. Returns whether the
    /// evacuated data centres changed.
    bool replace(evacuation_state next, kernel::time_point now);

    /// Applies the rows of this era that changed up to `position`, in order, unless a newer state is known. Returns
    /// whether the evacuated data centres changed.
    bool update(const std::vector<evacuation_row>& rows, store_position position, kernel::time_point now);

    [[nodiscard]] bool contains(const kernel::data_centre_name& data_centre) const
    {
        return state_ && (state_->present.contains(data_centre) || state_->kept.contains(data_centre));
    }

    [[nodiscard]] std::set<kernel::data_centre_name> data_centres() const;

    /// Empty before the first reading.
    [[nodiscard]] const std::optional<evacuation_state>& state() const { return state_; }

    /// Time since the set was last read or relayed; empty before the first reading.
    [[nodiscard]] std::optional<kernel::duration> age(kernel::time_point now) const;

private:
    void carry_over(evacuation_state& next) const;

    std::optional<evacuation_state> state_;
    kernel::time_point confirmed_at_{};
};

/// Returns the data centres of the rows that are present.
[[nodiscard]] std::set<kernel::data_centre_name> evacuated_data_centres(const std::vector<evacuation_row>& rows);

} // namespace wisterialane::proxy
