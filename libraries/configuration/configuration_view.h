#pragma once

#include "kernel/clock.h"
#include "libraries/configuration/configuration_set.h"
#include "libraries/configuration/version_progress.h"

#include <functional>

namespace wisterialane::configuration {

/// Whether this host may act on its configuration now (docs/design.md, 8.1).
enum class freshness { fresh, stale };

/// What the other services see of the configuration in force on this host. Thread-safe.
class configuration_view {
public:
    /// Called after each applied version, on the applying thread, with the new version visible to `read`.
    using listener = std::function<void(const configuration_set&)>;

    configuration_view() = default;
    configuration_view(const configuration_view&) = delete;
    configuration_view& operator=(const configuration_view&) = delete;
    virtual ~configuration_view() = default;

    /// Runs `use` on the current set under a shared lock; `use` must be short and must not block.
    virtual void read(const std::function<void(const configuration_set&)>& use) const = 0;

    /// Whether keyed routes may be served at `now`.
    [[nodiscard]] virtual freshness freshness_at(kernel::time_point now) const = 0;

    /// The newest version that has been accepted for at least the freshness bound F, so that no host acts on an older
    /// one any more. Grants that grew with a version are usable only from then on.
    [[nodiscard]] virtual kernel::version_number settled_version(kernel::time_point now) const = 0;

    [[nodiscard]] virtual version_progress progress_of(kernel::version_number version,
                                                       kernel::time_point now) const = 0;

    /// Starts a poll of the platform at once, for example after a publish through this host.
    virtual void poll_now() = 0;

    /// Registration ends before the services start.
    virtual void add_listener(listener notify) = 0;
};

} // namespace wisterialane::configuration
