#include "libraries/configuration/change.h"

namespace wisterialane::configuration {

object_reference target_of(const change& item)
{
    if (const auto* put = std::get_if<put_object>(&item)) {
        return reference_to(put->item);
    }
    return std::get<delete_object>(item).target;
}

} // namespace wisterialane::configuration
