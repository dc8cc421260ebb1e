#include "libraries/proxy/routing_table.h"

#include <algorithm>
#include <cctype>
#include <cmath>

namespace wisterialane::proxy {

namespace {

bool is_valid_prefix(const std::string& prefix)
{
    return !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
}

bool is_valid_limit(double limit)
{
    return std::isfinite(limit) && limit >= 0;
}

} // namespace

routing_table::routing_table(traffic_configuration configuration) : configuration_{std::move(configuration)}
{
    ambiguous_customer_.usable = false;
    add_routes();
    add_customers();
}

std::shared_ptr<const routing_table> routing_table::create(traffic_configuration configuration)
{
    return std::shared_ptr<const routing_table>{new routing_table{std::move(configuration)}};
}

void routing_table::add_fault(proxy_event reason, std::string subject)
{
    configuration_.faults.emplace_back(reason, std::move(subject));
}

void routing_table::add_routes()
{
    std::unordered_set<std::string_view> defined;
    for (const auto& service : configuration_.services) {
        defined.insert(service.name.value());
    }
    for (auto& route : configuration_.routes) {
        if (!is_valid_prefix(route.path_prefix)) {
            configuration_.has_unknown_routes = true;
            add_fault(proxy_event::invalid_prefix, route.name.value());
            continue;
        }
        if (route.host_name.empty()) {
            configuration_.has_unknown_routes = true;
            add_fault(proxy_event::invalid_host_name, route.name.value());
            continue;
        }
        if (route.usable) {
            check_services(route, defined);
        }
        routes_.emplace(route.host_name + route.path_prefix, &route);
    }
}

// A service that is not defined takes its share of the requests all the same: they are served if it has upstreams.
void routing_table::check_services(traffic_route& route, const std::unordered_set<std::string_view>& defined)
{
    double greatest_weight = 0;
    for (const auto& weighted : route.services) {
        if (!defined.contains(weighted.service.value())) {
            add_fault(proxy_event::unknown_service, route.name.value() + ": " + weighted.service.value());
        }
        if (!is_valid_limit(weighted.weight)) {
            route.usable = false;
        }
        greatest_weight = std::max(greatest_weight, weighted.weight);
    }
    route.usable = route.usable && greatest_weight > 0;
    if (!route.usable) {
        add_fault(proxy_event::invalid_weights, route.name.value());
    }
}

void routing_table::add_customers()
{
    for (auto& customer : configuration_.customers) {
        if (!is_valid_limit(customer.rate_per_second) || !is_valid_limit(customer.burst)) {
            customer.usable = false;
            add_fault(proxy_event::invalid_limit, customer.name.value());
        }
        for (const auto& key : customer.keys) {
            add_key(key, customer);
        }
    }
}

void routing_table::add_key(std::string_view key, const traffic_customer& customer)
{
    const auto [known, added] = keys_.emplace(key, &customer);
    if (!added && known->second != &customer) {
        known->second = &ambiguous_customer_;
        add_fault(proxy_event::key_held_twice, customer.name.value());
    }
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
