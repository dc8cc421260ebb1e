#pragma once

#include "kernel/failure.h"
#include "libraries/proxy/traffic_configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wisterialane::proxy {

/// A validated version of the configuration with lookup indexes. Immutable.
class routing_table {
public:
    /// Validates the configuration as a whole: every service that a route refers to exists, prefixes consist of whole
    /// path segments, and no key belongs to two customers. Fails with a `proxy_event` whose subject names the invalid
    /// object.
    static kernel::result<std::shared_ptr<const routing_table>> create(traffic_configuration configuration);

    /// Returns the route of this host name with the longest prefix of `path`, or null. `path` has no query.
    [[nodiscard]] const traffic_route* find_route(std::string_view host_name, std::string_view path) const;

    /// Returns the customer that the key belongs to, or null.
    [[nodiscard]] const traffic_customer* find_customer(std::string_view key) const;

    [[nodiscard]] const traffic_service* find_service(const kernel::service_name& name) const;

    [[nodiscard]] const traffic_configuration& configuration() const { return configuration_; }

    [[nodiscard]] kernel::version_number version() const { return configuration_.version; }

    /// Whether requests need a key on routes that are not open.
    [[nodiscard]] bool has_customers() const { return !configuration_.customers.empty(); }

private:
    explicit routing_table(traffic_configuration configuration);

    [[nodiscard]] kernel::result<void> check() const;
    [[nodiscard]] kernel::result<void> check_route(const traffic_route& route) const;

    traffic_configuration configuration_;
    /// Routes by host name followed by path prefix.
    std::unordered_map<std::string, const traffic_route*> routes_;
    std::unordered_map<std::string_view, const traffic_customer*> keys_;
    std::unordered_map<std::string_view, const traffic_service*> services_;
};

/// Returns the value of a `Host` header in the form that routes use: lower case, without a port.
[[nodiscard]] std::string normalize_host_name(std::string_view host);

/// Returns the part of a request target before the query.
[[nodiscard]] std::string_view path_of(std::string_view target);

} // namespace wisterialane::proxy
