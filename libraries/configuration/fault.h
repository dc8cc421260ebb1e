#pragma once

#include "libraries/configuration/configuration_events.h"
#include "libraries/configuration/objects.h"

#include <string>

namespace wisterialane::configuration {

/// One thing that is wrong with a proposed change.
struct fault {
    object_reference object;
    /// The field at fault; empty when the object as a whole is.
    std::string field;
    configuration_event reason = configuration_event::malformed_input;
    /// The offending value or the missing name.
    std::string detail;

    friend bool operator==(const fault&, const fault&) = default;
};

} // namespace wisterialane::configuration
