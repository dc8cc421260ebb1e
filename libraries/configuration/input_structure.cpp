#include "libraries/configuration/input_structure.h"

namespace wisterialane::configuration {

bool input_structure::open()
{
    if (members_.size() == maximum_depth_) {
        problem_ = configuration_event::input_too_large;
        return false;
    }
    members_.emplace_back();
    return true;
}

bool input_structure::close()
{
    members_.pop_back();
    return true;
}

bool input_structure::stop_at_malformed()
{
    problem_ = configuration_event::malformed_input;
    return false;
}

} // namespace wisterialane::configuration
