#pragma once

#include "kernel/failure.h"
#include "kernel/strong_type.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisterialane::platform {

/// Version of one row, which changes with each write to it.
using row_version = kernel::strong_type<struct row_version_tag, std::string>;

struct row {
    std::string key;
    std::string value;
    row_version version;
};

/// The platform's transactional table service. Thread-safe. A write blocks up to the request timeout; a read blocks up
/// to twice that, because it is repeated once.
///
/// Keys are not empty. Values are UTF-8 text.
///
/// A write that fails with `platform_event::outcome_unknown` may have taken effect or may still do so: the caller reads
/// the row back. All other failures mean that it had no effect.
class table {
public:
    table() = default;
    table(const table&) = delete;
    table& operator=(const table&) = delete;
    virtual ~table() = default;

    /// The row, or nothing if it does not exist.
    virtual kernel::result<std::optional<row>> read(std::string_view table_name, std::string_view key) = 0;

    /// Rows with keys that start with `prefix` and are greater than `after`, in key order, at most `limit`.
    virtual kernel::result<std::vector<row>> scan(std::string_view table_name, std::string_view prefix,
                                                  std::string_view after, std::size_t limit) = 0;

    /// Writes a row that does not exist yet. Fails with `platform_event::conflict` if it does.
    virtual kernel::result<row_version> insert(std::string_view table_name, std::string_view key,
                                               std::string_view value) = 0;

    /// Replaces a row. Fails with `platform_event::conflict` if its version is not `expected` any more.
    virtual kernel::result<row_version> update(std::string_view table_name, std::string_view key,
                                               std::string_view value, const row_version& expected) = 0;

    /// Deletes a row. Fails with `platform_event::conflict` if its version is not `expected` any more.
    virtual kernel::result<void> remove(std::string_view table_name, std::string_view key,
                                        const row_version& expected) = 0;
};

} // namespace wisterialane::platform
