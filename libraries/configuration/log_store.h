#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/configuration/configuration_set.h"
#include "libraries/configuration/record.h"
#include "libraries/platform/object_store.h"
#include "libraries/platform/table.h"

#include <optional>

namespace wisterialane::configuration {

/// `raced`: another record has taken the version; nothing was written.
enum class append_outcome { appended, raced };

/// The configuration log in the platform's table, with snapshots in its object store. Thread-safe.
class log_store {
public:
    log_store(platform::table& table, platform::object_store& objects) : table_{table}, objects_{objects} {}

    /// The record of a version, or nothing if that version does not exist yet. Not existing is the observation that the
    /// version before it is current.
    kernel::result<std::optional<record>> read(kernel::version_number version);

    /// Inserts the record if its version is free. A lost answer is read back and the proposal ids are compared; fails
    /// with `publish_outcome_unknown` if the read back fails as well.
    kernel::result<append_outcome> append(const record& item);

    /// The set of the newest snapshot, or nothing if there is none.
    kernel::result<std::optional<configuration_set>> read_newest_snapshot();

    /// Stores a snapshot and moves the pointer to it unless it already names a newer one.
    kernel::result<void> store_snapshot(const configuration_set& set);

private:
    platform::table& table_;
    platform::object_store& objects_;
};

} // namespace wisterialane::configuration
