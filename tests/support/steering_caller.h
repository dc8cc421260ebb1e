#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/http/client_connection.h"
#include "tests/support/fleet.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace wisterialane::test_support {

/// A caller as the interface asks for: it asks any host which addresses to use, keeps the answer for the time that it
/// is told, and keeps its connection until the host closes it. Not thread-safe.
class steering_caller {
public:
    steering_caller(std::vector<kernel::socket_address> known_hosts, std::string key)
        : known_hosts_{std::move(known_hosts)}, key_{std::move(key)}
    {}

    /// Sends one request. A failure means that the request was cut.
    kernel::result<http::buffered_response> send(const caller_request& request);

    /// The address in use.
    [[nodiscard]] const kernel::socket_address& address() const { return address_; }

private:
    bool choose_address();
    bool ask(const kernel::socket_address& host);
    bool ensure_connection();

    std::vector<kernel::socket_address> known_hosts_;
    std::string key_;
    kernel::socket_address address_;
    kernel::time_point valid_until_;
    std::unique_ptr<http::client_connection> connection_;
};

} // namespace wisterialane::test_support
