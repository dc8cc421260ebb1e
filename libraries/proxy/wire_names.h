#pragma once

#include <string>

namespace wisterialane::proxy {

/// Names of the headers, paths and query parameters that callers, hosts and upstreams use. The platform's adapter
/// provides them.
struct wire_names {
    /// Identifies one attempt of a caller; an upstream repeats it in its response.
    std::string request_id;
    /// Milliseconds that the sender of a request still waits.
    std::string deadline;
    /// A caller's key; never sent to an upstream.
    std::string key;
    /// The customer that holds the key; set by the host, and any value of the caller is discarded.
    std::string customer;
    /// The only upstream that may run the request.
    std::string target_upstream;
    /// In a response: the upstream did not run the request.
    std::string not_executed;
    /// In a response: the upstream is being taken out of service.
    std::string leaving;
    /// In a response: the requests per second that the upstream takes from all hosts together.
    std::string rate_limit;
    /// In a response: milliseconds for which the upstream is still cold.
    std::string cold_left;
    /// In a response: the upstream's signature over it.
    std::string signature;
    /// Path at which callers request the addresses of hosts.
    std::string address_path;
    /// Query parameter of the address request with the caller's data centre.
    std::string data_centre_parameter;
    /// Path at which the platform checks whether the host is ready.
    std::string readiness_path;
};

} // namespace wisterialane::proxy
