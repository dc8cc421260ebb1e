#pragma once

#include "libraries/proxy/proxy_host.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wisterialane::proxy {

/// What an upstream does with a request: these bytes, and whether the connection ends after them.
struct scripted_reply {
    std::string bytes;
    bool close = false;
    /// Never answers.
    bool hold = false;
    /// Sends the bytes again and again until the connection is closed.
    bool endless = false;
};

/// An upstream on a loopback address that follows a script.
class scripted_upstream {
public:
    using script = std::function<scripted_reply(const http_request&)>;

    scripted_upstream(io_context& context, std::string id, script behave);

    [[nodiscard]] upstream_record record() const;

    std::vector<http_request> received;
    /// Connections that the other side has closed.
    int departures = 0;
    /// Bytes of endless replies that were sent.
    std::size_t endless_bytes = 0;

private:
    struct connection;

    void accept();
    void read(const std::shared_ptr<connection>& from);
    void answer(const std::shared_ptr<connection>& from);
    void repeat(const std::shared_ptr<connection>& from);

    io_context& context_;
    std::string id_;
    script behave_;
    tcp_acceptor acceptor_;
};

/// A caller that sends raw bytes and collects one answer.
class scripted_caller : public std::enable_shared_from_this<scripted_caller> {
public:
    explicit scripted_caller(io_context& context) : stream_{context.get_executor()} {}

    void send(const tcp::endpoint& to, std::string bytes);
    void leave();

    unsigned status = 0;
    http_fields headers;
    std::string body;
    /// An answer has come, or the connection has ended.
    bool done = false;

private:
    tcp_stream stream_;
    std::string outgoing_;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
};

/// A store in memory: a configuration and upstreams, read without delay.
class memory_source : public store_client {
public:
    memory_source(io_context& context, kernel::clock_source clock);

    void read_configuration(handler<configuration_reading> done) override;
    void await_configuration(store_revision after, std::chrono::milliseconds wait,
                             handler<configuration_reading> done) override;
    void read_upstreams(handler<upstreams_reading> done) override;
    void await_upstream_changes(store_revision after, std::chrono::milliseconds wait,
                                handler<upstreams_reading> done) override;
    void read_hosts(handler<hosts_reading> done) override;
    void register_host(const host_record& record, handler<response_metadata> done) override;

    void stop() override {}

    std::optional<traffic_configuration> configuration;
    std::vector<upstream_record> upstreams;

private:
    [[nodiscard]] response_metadata reading() const;

    io_context& context_;
    kernel::clock_source clock_;
};

/// One host between callers and scripted upstreams, all in one event loop.
class host_fixture {
public:
    host_fixture();

    scripted_upstream& add_upstream(const std::string& id, scripted_upstream::script behave);
    /// Starts the host and waits until it is ready.
    void start();
    /// Runs the loop until the condition holds; fails the test after a generous time.
    void run_until(const std::function<bool()>& condition);
    std::shared_ptr<scripted_caller> send(const std::string& bytes);
    /// Sends and waits for the answer.
    std::shared_ptr<scripted_caller> call(const std::string& bytes);
    [[nodiscard]] unsigned readiness();
    [[nodiscard]] std::size_t arrivals() const;

    io_context context{1};
    memory_source source;
    proxy_settings settings;
    std::deque<scripted_upstream> upstreams;
    std::unique_ptr<proxy_host> host;
};

/// An answer of an upstream to this request, with its signature.
[[nodiscard]] std::string signed_answer(const http_request& request, const std::string& body, unsigned status = 200);

/// A refusal that says that the request was not run.
[[nodiscard]] std::string not_run_answer(const http_request& request, unsigned status = 503);

/// A caller's request; `more` is further header lines, each ended.
[[nodiscard]] std::string get_request(const std::string& id, const std::string& more = {});
[[nodiscard]] std::string post_request(const std::string& id, const std::string& body, const std::string& more = {});

} // namespace wisterialane::proxy
