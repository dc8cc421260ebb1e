#pragma once

#include "tests/soak/soak_fleet.h"
#include "tests/stand_ins/edge/upstream_stand_in.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json_fwd.hpp>

namespace wisterialane::edge_stand_ins {

/// A caller's connection, on which requests are sent one after the other.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    explicit caller_connection(proxy::io_context& context) : stream_{context.get_executor()} {}

    void connect(const proxy::tcp::endpoint& to);

    /// Sends a request, as soon as the connection is open. The status is 0 from here until the response is complete,
    /// and stays 0 if the connection ends without one.
    void send(std::string request);

    /// Whether the connection is being opened or a response is still to come.
    [[nodiscard]] bool waits() const { return waits_; }

    [[nodiscard]] unsigned status() const { return status_; }

private:
    void exchange();

    proxy::tcp_stream stream_;
    std::string outgoing_;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::response<boost::beast::http::string_body> response_;
    unsigned status_ = 0;
    bool waits_ = false;
    bool open_ = false;
};

/// A process of the program between a store, an upstream of the service `claims`, and callers.
class process_fixture {
public:
    struct options {
        std::string host_name;
        /// The ports of the store, of the upstreams, and from ten further on of the process.
        std::uint16_t first_port = 0;
        unsigned claim_slots = 1;
        /// Time that the upstream needs for a claim.
        std::chrono::milliseconds claim_time{0};
        /// Timeout of the routes and deadline of the requests.
        std::chrono::milliseconds request_timeout{0};
        /// Longest time that `run_until` takes.
        std::chrono::seconds wait_limit{0};
    };

    explicit process_fixture(options values);

    /// Publishes a configuration with these limits and a route to each of the services, and starts the process.
    void start(const nlohmann::json& limits, const std::vector<std::string>& services);

    /// Runs the event loop until the condition holds; fails the test after the time limit.
    void run_until(const std::function<bool()>& condition);

    /// Opens a connection to the process.
    [[nodiscard]] std::shared_ptr<caller_connection> connect();

    /// Sends a request on a connection of its own.
    [[nodiscard]] std::shared_ptr<caller_connection> send(const std::string& service, const std::string& id);

    [[nodiscard]] std::string make_request(const std::string& service, const std::string& id) const;

    /// Waits until a claim is served, so that the host has its configuration and the upstreams.
    void await_service();

    /// The address at `offset` ports from the first one.
    [[nodiscard]] proxy::tcp::endpoint endpoint(std::uint16_t offset) const;

    proxy::io_context context{1};
    kernel::clock_source clock = [] { return kernel::boot_clock::now(); };
    store_stand_in store{context, clock};
    request_tracker tracker;
    std::optional<upstream_stand_in> claims;
    std::unique_ptr<soak::soak_host> host;

private:
    [[nodiscard]] nlohmann::json make_route(const std::string& service) const;

    options options_;
};

} // namespace wisterialane::edge_stand_ins
