#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/configuration/objects.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// The event-driven proxy: one thread serves callers, upstreams, peers and the platform's store.
namespace wisterialane::proxy {

using configuration::route_access;
using configuration::route_semantics;

/// One of the services among which a route distributes its requests by weight.
struct weighted_service {
    kernel::service_name service;
    /// Not negative and finite. Only the proportions between the weights of a route matter.
    double weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// Assigns the requests of one host name and path prefix to services.
struct traffic_route {
    kernel::route_name name;
    /// In lower case, without a port.
    std::string host_name;
    /// Begins and ends with a slash; the route with the longest matching prefix is chosen.
    std::string path_prefix;
    route_access access = route_access::keyed;
    route_semantics semantics = route_semantics::non_idempotent;
    std::vector<weighted_service> services;
    std::chrono::milliseconds timeout{1000};
    std::chrono::milliseconds target_latency{1000};
    /// 0 is the most urgent.
    int priority = 0;
    /// Maximum number of upstreams to which one request may be sent.
    unsigned maximum_attempts = 1;
    /// Whether the definition is valid. Requests that match an unusable route are refused as not run, because no other
    /// route may take them.
    bool usable = true;
};

struct traffic_customer {
    kernel::customer_name name;
    std::vector<std::string> keys;
    /// 0 is the most urgent; takes precedence over a route's priority.
    int priority = 0;
    /// Requests per second over all hosts together; 0 means no limit.
    double rate_per_second = 0;
    /// Size of the token bucket, in requests.
    double burst = 0;
    /// Whether the definition is valid. Requests with a key of an unusable customer are refused as not run.
    bool usable = true;
};

struct traffic_service {
    kernel::service_name name;
    std::string health_path;
    /// Connections that one upstream accepts from all hosts together.
    unsigned maximum_connections = 1;
    /// Time for which an upstream is cold after its start.
    std::chrono::milliseconds cold_start{0};
    /// Requests per second that a cold upstream takes from all hosts together; 0 means no limit.
    double cold_per_second = 0;
};

/// Limits on the size of a caller's requests and on the time that its connection may take.
struct caller_limits {
    std::size_t maximum_header_bytes = 16 * 1024;
    std::uint64_t maximum_body_bytes = 64ULL * 1024 * 1024;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

/// One version of the configuration that operators publish.
///
/// An invalid object of a version affects only the requests that need it, so that a fault in one object does not delay
/// the rest of the version, such as the revocation of a key.
struct traffic_configuration {
    kernel::version_number version;
    caller_limits limits;
    std::vector<traffic_customer> customers;
    std::vector<traffic_route> routes;
    std::vector<traffic_service> services;
    /// Routes that are not open need a key, even if no customer is listed.
    bool requires_keys = false;
    /// The host name or path prefix of a route is invalid, so a request without a route may belong to that one.
    bool has_unknown_routes = false;
    /// Keys of a customer are invalid, so an unknown key may be one of them.
    bool has_unknown_keys = false;
    /// What is invalid; the subjects name the objects.
    std::vector<kernel::failure> faults;
};

} // namespace wisterialane::proxy
