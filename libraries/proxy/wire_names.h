#pragma once

#include <string>

namespace wisterialane::proxy {

/// Names of the headers that callers, hosts and upstreams exchange. The adapter of a platform provides them.
struct wire_names {
    /// Identifies one attempt of a caller; an upstream repeats it in its answer.
    std::string request_id;
    /// Milliseconds that the sender of a request still waits.
    std::string deadline;
    /// A caller's key; never passed on.
    std::string key;
    /// The customer that holds the key; set by the host whatever the caller sent.
    std::string customer;
    /// The only upstream that may run the request.
    std::string target_upstream;
    /// In an answer: the upstream did not run the request.
    std::string not_executed;
    /// In an answer: the upstream's signature over it.
    std::string signature;
    /// Path at which callers ask for addresses.
    std::string address_path;
    /// Query parameter of that call with the caller's data centre.
    std::string data_centre_parameter;
    /// Path at which the platform asks whether the host is ready.
    std::string readiness_path;
};

} // namespace wisterialane::proxy
