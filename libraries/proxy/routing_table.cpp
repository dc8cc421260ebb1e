#include "libraries/proxy/routing_table.h"

#include "libraries/proxy/proxy_events.h"

#include <algorithm>
#include <cctype>

namespace wisterialane::proxy {

routing_table::routing_table(traffic_configuration configuration) : configuration_{std::move(configuration)}
{
    for (const auto& route : configuration_.routes) {
        routes_.emplace(route.host_name + route.path_prefix, &route);
    }
    for (const auto& service : configuration_.services) {
        services_.emplace(service.name.value(), &service);
    }
    for (const auto& customer : configuration_.customers) {
        for (const auto& key : customer.keys) {
            keys_.emplace(key, &customer);
        }
    }
}

kernel::result<std::shared_ptr<const routing_table>> routing_table::create(traffic_configuration configuration)
{
    const std::shared_ptr<const routing_table> table{new routing_table{std::move(configuration)}};
    if (const auto checked = table->check(); !checked) {
        return tl::unexpected{checked.error()};
    }
    return table;
}

kernel::result<void> routing_table::check() const
{
    for (const auto& customer : configuration_.customers) {
        if (customer.rate_per_second < 0 || customer.burst < 0) {
            return kernel::fail(proxy_event::invalid_limit, customer.name.value());
        }
        for (const auto& key : customer.keys) {
            if (keys_.at(key) != &customer) {
                return kernel::fail(proxy_event::key_held_twice, customer.name.value());
            }
        }
    }
    for (const auto& route : configuration_.routes) {
        if (auto checked = check_route(route); !checked) {
            return checked;
        }
    }
    return {};
}

kernel::result<void> routing_table::check_route(const traffic_route& route) const
{
    const auto& prefix = route.path_prefix;
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
        return kernel::fail(proxy_event::invalid_prefix, route.name.value());
    }
    if (route.host_name.empty()) {
        return kernel::fail(proxy_event::invalid_host_name, route.name.value());
    }
    double greatest_weight = 0;
    for (const auto& weighted : route.services) {
        if (find_service(weighted.service) == nullptr) {
            return kernel::fail(proxy_event::unknown_service, route.name.value());
        }
        greatest_weight = std::max(greatest_weight, weighted.weight);
    }
    if (greatest_weight <= 0) {
        return kernel::fail(proxy_event::unknown_service, route.name.value());
    }
    return {};
}

const traffic_route* routing_table::find_route(std::string_view host_name, std::string_view path) const
{
    std::string name{host_name};
    name += path;
    // Every prefix ends with a slash, so only the slashes of the path need a lookup.
    while (name.size() > host_name.size()) {
        if (name.back() == '/') {
            if (const auto found = routes_.find(name); found != routes_.end()) {
                return found->second;
            }
        }
        name.pop_back();
    }
    return nullptr;
}

const traffic_customer* routing_table::find_customer(std::string_view key) const
{
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : found->second;
}

const traffic_service* routing_table::find_service(const kernel::service_name& name) const
{
    const auto found = services_.find(name.value());
    return found == services_.end() ? nullptr : found->second;
}

std::string normalize_host_name(std::string_view host)
{
    if (const auto colon = host.rfind(':'); colon != std::string_view::npos && !host.ends_with(']')) {
        host = host.substr(0, colon);
    }
    std::string name{host};
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return name;
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace wisterialane::proxy
