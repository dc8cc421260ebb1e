#include "libraries/proxy/upstream_rate_limit.h"

#include <algorithm>
#include <cmath>

namespace wisterialane::proxy {
namespace {

/// A limit ends if neither a response nor a report has named it for this time.
constexpr kernel::duration limit_lifetime = std::chrono::seconds{15};
/// A limit that lasts is reported to the other hosts this often.
constexpr kernel::duration report_interval = std::chrono::seconds{2};
/// Hosts that share a rate, at most.
constexpr double maximum_limit_shares = 1001;

} // namespace

std::optional<std::chrono::duration<double>> share_interval(const active_position& place, double per_second,
                                                            double maximum_shares)
{
    if (per_second <= 0) {
        return std::nullopt;
    }
    const auto shares = std::min({static_cast<double>(place.hosts), 1 + std::floor(per_second), maximum_shares});
    if (static_cast<double>(place.index) >= shares) {
        return std::nullopt;
    }
    return std::chrono::duration<double>{shares / per_second};
}

bool upstream_rate_limit::record_response(std::optional<double> per_second, kernel::time_point sent_at,
                                          kernel::time_point now)
{
    const bool had_limit = applies(now);
    if (!per_second && (!had_limit || sent_at <= named_at_)) {
        return false;
    }
    const bool changed = !had_limit || per_second_ != per_second;
    per_second_ = per_second;
    named_at_ = now;
    if (!changed && now - reported_at_ < report_interval) {
        return false;
    }
    reported_at_ = now;
    return true;
}

void upstream_rate_limit::record_report(std::optional<double> per_second, kernel::time_point now)
{
    per_second_ = per_second;
    named_at_ = now;
}

bool upstream_rate_limit::applies(kernel::time_point now) const
{
    return per_second_ && now - named_at_ <= limit_lifetime;
}

std::optional<double> upstream_rate_limit::per_second(kernel::time_point now) const
{
    return applies(now) ? per_second_ : std::nullopt;
}

bool upstream_rate_limit::allows(const active_position& place, kernel::time_point last_request_at,
                                 kernel::time_point now) const
{
    if (!applies(now)) {
        return true;
    }
    const auto interval = share_interval(place, *per_second_, maximum_limit_shares);
    return interval && now - last_request_at >= *interval;
}

} // namespace wisterialane::proxy
