#include "libraries/metrics/series_selector.h"

namespace wisterialane::metrics {

std::string series_selector::label_for(const kernel::customer_name& customer, const std::string& metrics_class,
                                       kernel::time_point now)
{
    const auto found = last_seen_.find(customer);
    if (found != last_seen_.end()) {
        found->second = now;
        return customer.value();
    }
    if (last_seen_.size() < maximum_customers_) {
        last_seen_.emplace(customer, now);
        return customer.value();
    }
    // A colon cannot occur in a customer's name, so a class never looks like a customer.
    return "class:" + (metrics_class.empty() ? "other" : metrics_class);
}

std::vector<kernel::customer_name> series_selector::expire(kernel::time_point now)
{
    std::vector<kernel::customer_name> expired;
    for (auto entry = last_seen_.begin(); entry != last_seen_.end();) {
        if (now - entry->second < idle_limit_) {
            ++entry;
            continue;
        }
        expired.push_back(entry->first);
        entry = last_seen_.erase(entry);
    }
    return expired;
}

} // namespace wisterialane::metrics
