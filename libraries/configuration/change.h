#pragma once

#include "libraries/configuration/objects.h"

#include <variant>

namespace wisterialane::configuration {

/// Creates an object or replaces the one of the same kind and name.
struct put_object {
    object item;

    friend bool operator==(const put_object&, const put_object&) = default;
};

struct delete_object {
    object_reference target;

    friend bool operator==(const delete_object&, const delete_object&) = default;
};

using change = std::variant<put_object, delete_object>;

/// The object that a change creates, replaces or deletes.
[[nodiscard]] object_reference target_of(const change& item);

} // namespace wisterialane::configuration
