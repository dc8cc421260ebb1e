#pragma once

#include "kernel/clock.h"
#include "kernel/identifiers.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace wisterialane::metrics {

/// Decides which customers have a histogram of their own. The number of series is bounded, because 110,000 customers
/// with a histogram each would not fit in a host's memory; customers without one are counted by class. Not thread-safe.
class series_selector {
public:
    series_selector(std::size_t maximum_customers, kernel::duration idle_limit)
        : maximum_customers_{maximum_customers}, idle_limit_{idle_limit}
    {}

    /// The value of the `customer` label: the customer's name, or `class:<class>` when it has no series of its own.
    std::string label_for(const kernel::customer_name& customer, const std::string& metrics_class,
                          kernel::time_point now);

    /// Customers that were idle for the limit; their series are to be removed. Frees their places.
    std::vector<kernel::customer_name> expire(kernel::time_point now);

private:
    std::size_t maximum_customers_;
    kernel::duration idle_limit_;
    std::unordered_map<kernel::customer_name, kernel::time_point> last_seen_;
};

} // namespace wisterialane::metrics
