#pragma once

#include "kernel/failure.h"
#include "libraries/proxy/traffic_configuration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wisterialane::proxy {

/// One checked version of the configuration with indexes for requests. Immutable.
class routing_table {
public:
    /// Checks the whole version as one: every name that a route refers to exists, prefixes are whole path segments,
    /// no key belongs to two customers. Fails with a `proxy_event` that names the object at fault.
    static kernel::result<std::shared_ptr<const routing_table>> create(traffic_configuration source);

    /// The route with the longest prefix of `path` under this host name, or null. `path` has no query.
    [[nodiscard]] const traffic_route* find_route(std::string_view host_name, std::string_view path) const;

    /// The customer that holds the key, or null.
    [[nodiscard]] const traffic_customer* find_customer(std::string_view key) const;

    [[nodiscard]] const traffic_service* find_service(const kernel::service_name& name) const;

    [[nodiscard]] const traffic_configuration& configuration() const { return source_; }

    [[nodiscard]] kernel::version_number version() const { return source_.version; }

    /// Whether a request without a key can only be served on open routes.
    [[nodiscard]] bool has_customers() const { return !source_.customers.empty(); }

private:
    explicit routing_table(traffic_configuration source);

    [[nodiscard]] kernel::result<void> check() const;
    [[nodiscard]] kernel::result<void> check_route(const traffic_route& route) const;

    traffic_configuration source_;
    /// Routes by host name and prefix, written one after the other.
    std::unordered_map<std::string, const traffic_route*> routes_;
    std::unordered_map<std::string_view, const traffic_customer*> keys_;
    std::unordered_map<std::string_view, const traffic_service*> services_;
};

/// A `Host` header as routes have it: lower case, without a port.
[[nodiscard]] std::string normalize_host_name(std::string_view host);

/// The part of a request target before the query.
[[nodiscard]] std::string_view path_of(std::string_view target);

} // namespace wisterialane::proxy
