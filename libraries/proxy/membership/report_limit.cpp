#include "libraries/proxy/membership/report_limit.h"

#include <utility>

namespace wisterialane::proxy {
namespace {

constexpr std::chrono::seconds line_interval{1};
/// Upstreams come and go; entries without reports for this time are removed.
constexpr std::chrono::seconds entry_lifetime{60};

} // namespace

std::optional<std::size_t> report_limit::count(const kernel::upstream_name& subject, kernel::time_point now)
{
    remove_old_entries(now);
    auto& known = entries_[subject];
    ++known.reports;
    if (known.written_at && now - *known.written_at < line_interval) {
        return std::nullopt;
    }
    known.written_at = now;
    return std::exchange(known.reports, 0);
}

void report_limit::remove_old_entries(kernel::time_point now)
{
    if (now - cleaned_at_ < entry_lifetime) {
        return;
    }
    cleaned_at_ = now;
    std::erase_if(entries_, [now](const auto& known) {
        return known.second.written_at && now - *known.second.written_at >= entry_lifetime;
    });
}

} // namespace wisterialane::proxy
