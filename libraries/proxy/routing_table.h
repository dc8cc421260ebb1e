#pragma once

#include "libraries/proxy/proxy_events.h"
#include "libraries/proxy/traffic_configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wisterialane::proxy {

/// A validated version of the configuration with lookup indexes. Immutable.
class routing_table {
public:
    /// Validates the objects of the configuration: prefixes consist of whole path segments, weights and limits are in
    /// range, every service that a route refers to is defined, and no key belongs to two customers. Invalid objects are
    /// marked unusable and added to the faults of the configuration.
    static std::shared_ptr<const routing_table> create(traffic_configuration configuration);

    /// Returns the route of this host name with the longest prefix of `path`, or null. `path` has no query. The route
    /// may be unusable.
    [[nodiscard]] const traffic_route* find_route(std::string_view host_name, std::string_view path) const;

    /// Returns the customer that the key belongs to, or null. The customer may be unusable.
    [[nodiscard]] const traffic_customer* find_customer(std::string_view key) const;

    [[nodiscard]] const traffic_configuration& configuration() const { return configuration_; }

    [[nodiscard]] kernel::version_number version() const { return configuration_.version; }

    /// Whether requests need a key on routes that are not open.
    [[nodiscard]] bool requires_keys() const
    {
        return configuration_.requires_keys || !configuration_.customers.empty();
    }

private:
    explicit routing_table(traffic_configuration configuration);

    void add_routes();
    void check_services(traffic_route& route, const std::unordered_set<std::string_view>& defined);
    void add_customers();
    void add_key(std::string_view key, const traffic_customer& customer);
    void add_fault(proxy_event reason, std::string subject);

    traffic_configuration configuration_;
    /// Stands for the customer of a key that two customers have.
    traffic_customer ambiguous_customer_;
    /// Routes by host name followed by path prefix.
    std::unordered_map<std::string, const traffic_route*> routes_;
    std::unordered_map<std::string_view, const traffic_customer*> keys_;
};

/// Returns the value of a `Host` header in the form that routes use: lower case, without a port.
[[nodiscard]] std::string normalize_host_name(std::string_view host);

/// Returns the part of a request target before the query.
[[nodiscard]] std::string_view path_of(std::string_view target);

} // namespace wisterialane::proxy
