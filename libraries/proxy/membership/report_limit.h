#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"

#include <cstddef>
#include <map>
#include <optional>

namespace wisterialane::proxy {

/// Limits the log lines on reports of other hosts to one per second and subject. When an upstream fails, each host that
/// sends requests to it reports that to all others.
class report_limit {
public:
    /// Counts a report that changed what this host believes of the upstream. Returns the number of such reports since
    /// the last line, this one included, if a line is to be written now.
    ///
    /// @param subject the upstream, or an empty name for one line per second on all of them.
    [[nodiscard]] std::optional<std::size_t> count(const kernel::upstream_name& subject, kernel::time_point now);

private:
    struct entry {
        std::optional<kernel::time_point> written_at;
        std::size_t reports = 0;
    };

    void remove_old_entries(kernel::time_point now);

    std::map<kernel::upstream_name, entry> entries_;
    kernel::time_point cleaned_at_{};
};

} // namespace wisterialane::proxy
