#pragma once

#include "kernel/failure.h"

#include <string_view>

namespace wisterialane::kernel {

/// A long-running component of the process, which other components find by name in the service registry.
class service {
public:
    service() = default;
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    virtual ~service() = default;

    /// The name in the registry; constant.
    [[nodiscard]] virtual std::string_view name() const = 0;

    /// Starts threads and listeners. Services that were registered earlier are already running.
    virtual result<void> start() = 0;

    /// Stops threads and listeners, and returns when all have ended. Called only after a successful start.
    virtual void stop() = 0;
};

} // namespace wisterialane::kernel
