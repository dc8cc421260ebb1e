#pragma once

#include <tuple>

namespace wisterialane::proxy {

/// Urgency of a request. Lower values are more urgent, and the customer's priority takes precedence.
struct request_priority {
    int customer = 0;
    int route = 0;

    friend bool operator==(const request_priority&, const request_priority&) = default;

    friend bool operator<(const request_priority& left, const request_priority& right)
    {
        return std::tie(left.customer, left.route) < std::tie(right.customer, right.route);
    }
};

/// The place of a priority among the recent requests of a service, as fractions of these.
struct priority_place {
    double more_urgent = 0;
    double equal = 1;
};

} // namespace wisterialane::proxy
