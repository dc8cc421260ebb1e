#pragma once

#include "libraries/proxy/proxy_host.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wisterialane::proxy {

/// What an upstream sends back for a request, and whether it closes the connection afterwards.
struct scripted_response {
    std::string bytes;
    bool close = false;
    /// Sends no response and keeps the connection open.
    bool never_respond = false;
    /// Repeats the bytes until the connection is closed.
    bool endless = false;
    /// Sent once, before bytes that are repeated.
    std::string head = {};
};

/// An upstream on a loopback address that responds as a function determines.
class scripted_upstream {
public:
    using script = std::function<scripted_response(const http_request&)>;

    scripted_upstream(io_context& context, std::string id, script responder);

    [[nodiscard]] upstream_record record() const;

    std::vector<http_request> received;
    /// Number of connections that the other side closed.
    int disconnects = 0;
    /// Number of bytes sent of endless responses.
    std::size_t endless_bytes = 0;

private:
    struct connection;

    void accept();
    void read(const std::shared_ptr<connection>& from);
    void respond(const std::shared_ptr<connection>& from);
    void repeat(const std::shared_ptr<connection>& from);

    io_context& context_;
    std::string id_;
    script responder_;
    tcp_acceptor acceptor_;
};

/// A caller that sends raw bytes and receives one response.
class scripted_caller : public std::enable_shared_from_this<scripted_caller> {
public:
    explicit scripted_caller(io_context& context) : stream_{context.get_executor()} {}

    void send(const tcp::endpoint& to, std::string bytes);
    void disconnect();

    unsigned status = 0;
    http_fields headers;
    std::string body;
    /// Whether a response was received or the connection was closed.
    bool done = false;

private:
    tcp_stream stream_;
    std::string outgoing_;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
};

/// A store in memory that holds a configuration and upstreams. Reads complete without delay, waiting calls after 20 ms.
class in_memory_store : public store_client {
public:
    in_memory_store(io_context& context, kernel::clock_source clock);

    void read_configuration(handler<configuration_reading> done) override;
    void await_configuration(store_revision after, std::chrono::milliseconds wait,
                             handler<configuration_reading> done) override;
    void read_upstreams(handler<upstreams_reading> done) override;
    void await_upstream_changes(store_revision after, std::chrono::milliseconds wait,
                                handler<upstreams_reading> done) override;
    void read_hosts(handler<hosts_reading> done) override;
    void register_host(const host_record& record, handler<response_metadata> done) override;

    void cancel_configuration_calls() override {}

    void cancel_upstream_calls() override {}

    void stop() override {}

    std::optional<traffic_configuration> configuration;
    std::vector<upstream_record> upstreams;
    std::vector<evacuation_row> evacuations;
    /// The rows of the table of hosts; empty while it cannot be read.
    std::optional<std::vector<host_record>> hosts = std::vector<host_record>{};
    int host_reads = 0;
    int registrations = 0;

private:
    [[nodiscard]] response_metadata metadata() const;

    io_context& context_;
    kernel::clock_source clock_;
};

/// Another host of the data centre: its channel, and the beginning of each of its messages.
struct scripted_peer {
    std::shared_ptr<peer_channel> channel;
    peer_message message;
};

/// One host between callers and scripted upstreams, all in one event loop.
class host_fixture {
public:
    host_fixture();

    scripted_upstream& add_upstream(const std::string& id, scripted_upstream::script responder);
    /// Starts the host and waits until it is ready.
    void start();
    /// Runs the event loop until the condition holds; fails the test after 20 s.
    void run_until(const std::function<bool()>& condition);
    std::shared_ptr<scripted_caller> send(const std::string& bytes);
    /// Sends a request and waits for the response.
    std::shared_ptr<scripted_caller> call(const std::string& bytes);
    /// Returns the status of a readiness request.
    [[nodiscard]] unsigned readiness();
    /// Opens the channel of another host, which the host under test does not know before its first message.
    scripted_peer add_peer(peer_channel::handler on_message = [](const auto&) {});
    /// Returns the number of requests that all upstreams have received.
    [[nodiscard]] std::size_t received_count() const;

    io_context context{1};
    in_memory_store store;
    proxy_settings settings;
    std::deque<scripted_upstream> upstreams;
    std::unique_ptr<proxy_host> host;
};

/// Returns an upstream's signed response to this request; `more` holds further header lines, each with its line end.
[[nodiscard]] std::string signed_response(const http_request& request, const std::string& body, unsigned status = 200,
                                          const std::string& more = {});

/// Returns an upstream's response that states that it did not execute this request.
[[nodiscard]] std::string not_executed_response(const http_request& request, unsigned status = 503,
                                                const std::string& more = {});

/// Returns a caller's request; `more` holds further header lines, each with its line end.
[[nodiscard]] std::string get_request(const std::string& id, const std::string& more = {});
[[nodiscard]] std::string post_request(const std::string& id, const std::string& body, const std::string& more = {});

} // namespace wisterialane::proxy
