#pragma once

#include "libraries/platform/host_list.h"

#include <string>
#include <string_view>
#include <vector>

namespace wisterialane::platform {

/// The JSON form of host list entries (docs/PLATFORM.md). The readers fail with `unexpected_answer`; a list that has
/// one unreadable entry is refused as a whole, because a missing entry would read as a host that is gone.
[[nodiscard]] std::string write_listed_host(const listed_host& host);
[[nodiscard]] std::string write_listed_hosts(const std::vector<listed_host>& hosts);
kernel::result<listed_host> read_listed_host(std::string_view text);
kernel::result<std::vector<listed_host>> read_listed_hosts(std::string_view text);

} // namespace wisterialane::platform
