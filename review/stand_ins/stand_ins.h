#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

/// Stand-ins for the platform, the servers and the clients of `wisterialane edge`, for the cases in `review/`. All of
/// them use blocking sockets on loopback addresses, with one thread for each connection.
namespace review {

using steady_clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// Exit codes of a case.
inline constexpr int exit_rule_held = 0;
inline constexpr int exit_rule_broken = 1;
inline constexpr int exit_could_not_run = 2;

/// Whether the disruption is to be brought about: `TROUBLE=0` leaves it out.
[[nodiscard]] bool with_trouble();

/// Ends the process with `exit_could_not_run`.
[[noreturn]] void give_up(const std::string& reason);

/// Ends the process at once, because threads of the stand-ins still run.
[[noreturn]] void end_case(int exit_code);

/// The file `record.txt` of a case: what was sent, answered and run, with the time since the start.
class case_record {
public:
    explicit case_record(const std::string& path);
    case_record(const case_record&) = delete;
    case_record& operator=(const case_record&) = delete;
    ~case_record();

    void write(const std::string& line);

private:
    std::mutex mutex_;
    std::FILE* file_;
    steady_clock::time_point started_at_ = steady_clock::now();
};

/// An HTTP message; the names of headers are in lower case.
struct http_message {
    std::string start_line;
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const;
};

/// A TCP connection with the bytes that were read ahead.
class connection {
public:
    explicit connection(int descriptor) : descriptor_{descriptor} {}

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    [[nodiscard]] int descriptor() const { return descriptor_; }

    bool send(const std::string& bytes) const;

    /// Reads the start line and the headers. Returns nothing if the connection ends or the time is up before that.
    std::optional<http_message> read_head();

    /// Reads the body that the message's length or chunked coding announces. Returns whether it is complete.
    bool read_body(http_message& message);

    /// Closes the connection with a reset.
    void reset();
    void close();
    void set_read_timeout(milliseconds timeout) const;

private:
    bool read_more();
    [[nodiscard]] std::optional<std::string> read_line();
    bool read_bytes(std::size_t count, std::string& to);

    int descriptor_;
    std::string buffer_;
};

/// How a response ended, as its client sees it.
struct client_result {
    bool has_head = false;
    bool complete = false;
    unsigned status = 0;
    http_message response;
};

/// Returns null if the connection is refused or takes longer than a second.
[[nodiscard]] std::unique_ptr<connection> connect_to(const std::string& ip, std::uint16_t port);

/// Reads one response; waits for at most this time.
[[nodiscard]] client_result read_response(connection& from, milliseconds timeout);

/// Listens on an address and calls the handler in a thread of its own for each connection.
class listener {
public:
    using handler = std::function<void(connection&)>;

    /// `maximum_segment` limits the size of TCP segments like the link of a network; 0 leaves that of the loopback
    /// interface. `receive_buffer` is the size of the connections' receive buffers; 0 leaves the default.
    listener(const std::string& ip, std::uint16_t port, handler handle, int maximum_segment = 0,
             int receive_buffer = 0);

    [[nodiscard]] std::uint16_t port() const { return port_; }

private:
    std::uint16_t port_ = 0;
};

/// The platform's store: rows with versions, and their changes. It holds what is written until the case ends.
class platform_store {
public:
    explicit platform_store(const std::string& ip);

    [[nodiscard]] std::uint16_t port() const { return listener_.port(); }

    void put(const std::string& table, const std::string& key, const nlohmann::json& value);

private:
    struct row {
        std::string encoded_value;
        std::uint64_t version = 0;
    };

    using query = std::map<std::string, std::string>;

    void serve(connection& client);
    nlohmann::json answer(const http_message& request);
    nlohmann::json rows_after(const std::string& table, std::uint64_t version);
    nlohmann::json read_table(const std::string& table);
    nlohmann::json await_changes(const query& parameters);
    nlohmann::json apply_transaction(const std::string& body);
    nlohmann::json with_metadata(nlohmann::json document) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::uint64_t version_ = 1;
    listener listener_;
};

/// The loopback addresses of a case, which differ between cases that run at the same time.
[[nodiscard]] std::string loopback_ip(unsigned index);

struct host_options {
    std::string ip;
    std::string name = "edge-a-1";
    std::string zone = "zone-a";
    std::uint16_t store_port = 0;
    std::string store_ip;
    /// Memory above which the platform kills the process.
    unsigned memory_mb = 260;
};

/// One machine with `wisterialane edge`, started as the deploy file says.
class edge_host {
public:
    static constexpr std::uint16_t front_port = 8782;
    static constexpr std::uint16_t ready_port = 8789;

    /// `repository` is the folder with `target/bin/wisterialane`.
    edge_host(std::string repository, host_options options);
    edge_host(const edge_host&) = delete;
    edge_host& operator=(const edge_host&) = delete;
    ~edge_host();

    void start();
    void send_signal(int signal) const;

    /// Ends the process at once and waits for its end.
    void kill();

    /// Whether the process has ended by itself or by a signal.
    [[nodiscard]] bool has_ended();

    /// Waits until the host says that it is ready. Returns whether it did in this time.
    [[nodiscard]] bool await_ready(milliseconds timeout) const;

    /// Memory of the process in MB; 0 if it does not run.
    [[nodiscard]] double memory_mb() const;

    [[nodiscard]] const host_options& options() const { return options_; }

private:
    void write_settings() const;

    std::string repository_;
    host_options options_;
    std::string settings_path_;
    std::string log_path_;
    pid_t process_ = -1;
};

/// A service of the configuration and one route to it.
struct route_options {
    std::string service = "archive";
    std::string prefix = "/archive/";
    std::string kind = "idempotent";
    std::string timeout = "5000ms";
    unsigned attempts = 1;
};

/// Returns a configuration with these routes on the host `site.example`, all of them public.
[[nodiscard]] nlohmann::json make_configuration(const std::vector<route_options>& routes);

/// Returns the entry of a server in the store.
[[nodiscard]] nlohmann::json make_server_entry(const std::string& ip, std::uint16_t port, const std::string& service,
                                               unsigned slots);

/// Returns the head of a request as a client sends it.
[[nodiscard]] std::string make_request(const std::string& method, const std::string& target, const std::string& id,
                                       unsigned deadline_ms, std::size_t body_bytes);

/// Returns a new request id.
[[nodiscard]] std::string new_request_id();

} // namespace review
