#pragma once

#include "kernel/identifiers.h"
#include "libraries/limits/loan.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wisterialane::limits {

/// Homes of a customer in a fleet of at least this many instances.
inline constexpr std::size_t maximum_homes = 8;

/// A customer with a small burst has fewer homes, so that each home owns at least this many tokens of burst: a part of
/// a token admits nothing until loans complete it.
inline constexpr double minimum_home_burst = 2;

/// Chooses the home instances of customers by rendezvous hashing (Thaler, Ravishankar 1998): a roster change moves only
/// the homes on the instances that it adds or removes.
class home_selector {
public:
    explicit home_selector(const std::vector<kernel::instance_id>& instances);

    /// The homes of a customer with this burst, best first. Costs one hash for each instance.
    [[nodiscard]] std::vector<kernel::instance_id> homes(const kernel::customer_name& customer, double burst) const;

    [[nodiscard]] std::size_t home_count(double burst) const;

private:
    struct seeded_instance {
        kernel::instance_id instance;
        std::uint64_t seed = 0;
    };

    std::vector<seeded_instance> instances_;
};

/// The part of a customer's limit that an instance owns: an equal part if it is one of the homes, and nothing
/// otherwise.
[[nodiscard]] capacity share_of(const kernel::instance_id& instance, const std::vector<kernel::instance_id>& homes,
                                const capacity& limit);

} // namespace wisterialane::limits
