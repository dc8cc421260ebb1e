#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"
#include "libraries/configuration/configuration_set.h"
#include "libraries/limits/customer_limiter.h"
#include "libraries/limits/home_selector.h"
#include "libraries/limits/loan.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

namespace wisterialane::services {

/// The limit of a configured customer, or nothing if it or its limit does not exist.
[[nodiscard]] std::optional<limits::capacity> find_limit(const configuration::configuration_set& set,
                                                         const kernel::customer_name& customer);

/// What the configuration versions that some host may still act on say about homes and limits. A customer that becomes
/// active gets its share history from here, so that no per-customer state is kept for inactive ones.
///
/// Limits are kept as digests over groups of customers. A customer in a group whose digest differs in an older version
/// counts as having had no share in it.
class limit_versions {
public:
    /// Takes a version that is newer than the last one. Versions that were skipped count as giving no shares. Costs the
    /// number of configured objects.
    // FIXME: at the target size this is about 130,000 objects for each version; a listener that names the changed
    // objects would make it proportional to the change.
    void observe(const configuration::configuration_set& set);

    /// Forgets the versions before this one.
    void forget_before(kernel::version_number version);

    /// Applies the newest version, and a skipped one before it, to a customer that has seen all earlier ones.
    void apply_newest(const kernel::customer_name& customer, const limits::capacity& limit,
                      limits::customer_limiter& limiter, kernel::time_point now) const;

    /// Applies all versions to a new limiter.
    void apply_all(const kernel::customer_name& customer, const limits::capacity& limit,
                   limits::customer_limiter& limiter, kernel::time_point now) const;

    [[nodiscard]] kernel::version_number newest() const;

    [[nodiscard]] const configuration::roster& hosts() const { return hosts_; }

    /// The customer's homes in the newest version.
    [[nodiscard]] std::vector<kernel::instance_id> homes(const kernel::customer_name& customer,
                                                         const limits::capacity& limit) const;

private:
    static constexpr std::size_t group_count = 1024;
    using digests = std::array<std::uint64_t, group_count>;

    struct entry {
        kernel::version_number version;
        /// Null for a skipped version.
        std::shared_ptr<const limits::home_selector> selector;
        std::shared_ptr<const digests> limits;
    };

    [[nodiscard]] static std::size_t group_of(const kernel::customer_name& customer);
    [[nodiscard]] static digests digest_limits(const configuration::configuration_set& set);
    void apply(const entry& item, const kernel::customer_name& customer, const limits::capacity& limit,
               limits::customer_limiter& limiter, kernel::time_point now) const;

    /// In order of versions; unchanged selectors and digests are shared.
    std::deque<entry> entries_;
    configuration::roster hosts_;
};

} // namespace wisterialane::services
