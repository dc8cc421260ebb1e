#include "libraries/proxy/placement/recent_positions.h"

namespace wisterialane::proxy {

bool recent_positions::is_recent(const held_position& held, kernel::time_point now)
{
    return held.until == kernel::time_point::max() || now - held.until <= memory;
}

void recent_positions::record(std::optional<active_position> position, kernel::time_point now)
{
    if (held_.back().position == position) {
        return;
    }
    std::erase_if(held_, [now](const auto& held) { return !is_recent(held, now); });
    held_.back().until = now;
    held_.push_back({position, kernel::time_point::max()});
}

std::vector<std::optional<active_position>> recent_positions::recent(kernel::time_point now) const
{
    std::vector<std::optional<active_position>> found;
    for (const auto& held : held_) {
        if (is_recent(held, now)) {
            found.push_back(held.position);
        }
    }
    return found;
}

} // namespace wisterialane::proxy
