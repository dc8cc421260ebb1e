#pragma once

#include "kernel/failure.h"

#include <optional>
#include <string>
#include <string_view>

namespace wisterialane::platform {

/// The platform's object store. Thread-safe; calls block as those of `table` do.
class object_store {
public:
    object_store() = default;
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;
    virtual ~object_store() = default;

    /// The object's bytes, or nothing if it does not exist.
    virtual kernel::result<std::optional<std::string>> get(std::string_view key) = 0;

    /// Stores an object that does not exist yet; objects are immutable. Fails with `platform_event::conflict` if it
    /// exists, and with `platform_event::outcome_unknown` as a table's writes do.
    virtual kernel::result<void> put(std::string_view key, std::string_view bytes) = 0;
};

} // namespace wisterialane::platform
