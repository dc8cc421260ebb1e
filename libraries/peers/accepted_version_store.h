#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/platform/table.h"

namespace wisterialane::peers {

/// Keeps the newest version that is known to be accepted at the platform, for a fleet of which no instance remains:
/// whether a version was accepted cannot be told from the log. Stateless, hence thread-safe.
class accepted_version_store {
public:
    explicit accepted_version_store(platform::table& table) : table_{table} {}

    /// The stored version, 0 if there is none. Fails as the table does, or with `malformed_accepted_version`.
    kernel::result<kernel::version_number> read();

    /// Stores the version unless a newer one is stored; returns the newest that is known to be stored. Another host may
    /// raise it at the same time, which is not a failure.
    kernel::result<kernel::version_number> raise(kernel::version_number version);

private:
    platform::table& table_;
};

} // namespace wisterialane::peers
