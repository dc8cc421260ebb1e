#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/configuration/configuration_set.h"
#include "libraries/configuration/record.h"
#include "libraries/platform/object_store.h"
#include "libraries/platform/table.h"

#include <cstddef>
#include <optional>
#include <vector>

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

    /// Records that follow a version, in order and without gaps, at most `limit`; empty at the end of the log.
    kernel::result<std::vector<record>> read_after(kernel::version_number version, std::size_t limit);

    /// Inserts the record if its version is free. A lost answer is read back and the hashes are compared, which cover
    /// the proposal id. Fails with `publish_outcome_unknown` if reading back fails as well or finds no record, because
    /// the write may still take effect, and with `input_too_large` for a record that other hosts would refuse.
    kernel::result<append_outcome> append(const record& item);

    /// The set of the newest snapshot, or nothing if there is none.
    kernel::result<std::optional<configuration_set>> read_newest_snapshot();

    /// Stores a snapshot and moves the pointer to it unless it already names a newer one.
    kernel::result<void> store_snapshot(const configuration_set& set);

private:
    kernel::result<append_outcome> resolve_lost_append(const record& item);

    platform::table& table_;
    platform::object_store& objects_;
};

} // namespace wisterialane::configuration
