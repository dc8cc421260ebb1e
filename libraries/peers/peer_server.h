#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/peers/envelope_codec.h"
#include "libraries/peers/messages.h"
#include "libraries/peers/traffic_counters.h"

#include <functional>
#include <memory>

namespace wisterialane::peers {

/// Listens for the calls of other hosts. Envelopes that do not open are counted, logged and dropped before anything
/// else sees them. Thread-safe; the destructor returns when no call runs any more.
class peer_server {
public:
    /// Answers one request, on a thread of the server and concurrently with others. A failure refuses the request.
    using handler = std::function<kernel::result<message_content>(const kernel::instance_id& sender,
                                                                  const message_content& request)>;

    /// Listens on the address (port 0: any free port). Fails with `listen_failed`, also while another process that used
    /// the address has not ended. The codec and the counters outlive the server.
    static kernel::result<std::unique_ptr<peer_server>> start(const kernel::socket_address& address,
                                                              const envelope_codec& codec, handler answer,
                                                              traffic_counters& traffic);

    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    ~peer_server();

    /// The address with the port in use.
    [[nodiscard]] const kernel::socket_address& address() const { return address_; }

private:
    class implementation;

    peer_server(std::unique_ptr<implementation> listener, kernel::socket_address address);

    std::unique_ptr<implementation> implementation_;
    kernel::socket_address address_;
};

} // namespace wisterialane::peers
