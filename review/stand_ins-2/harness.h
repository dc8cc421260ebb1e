#pragma once

// Stand-ins for the second review: the platform's store, servers, clients, a proxy of TCP connections, and the start of
// the program under test. They use blocking sockets and one thread a connection, and share no code with the program.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json_fwd.hpp>
#include <sys/types.h>

namespace review {

/// Milliseconds since the start of the case.
[[nodiscard]] double now_ms();
void sleep_ms(double time);
void sleep_until_ms(double time);

/// The case could not run; `run_case` returns 2.
struct not_runnable : std::exception {
    explicit not_runnable(std::string reason) : reason_{std::move(reason)} {}

    [[nodiscard]] const char* what() const noexcept override { return reason_.c_str(); }

    std::string reason_;
};

/// Writes the lines of record.txt.
class record {
public:
    explicit record(const std::string& path) : file_{path} {}

    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

/// Loopback addresses and ports that were free when the case started.
class address_plan {
public:
    address_plan();

    /// An IP of 127.0.0.0/8 for each machine of the case.
    [[nodiscard]] std::string ip(unsigned machine) const;

    /// A port that is free on 127.0.0.1.
    [[nodiscard]] static std::uint16_t free_port();

private:
    unsigned second_ = 0;
    unsigned third_ = 0;
};

struct message {
    /// The request line or status line.
    std::string first_line;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const;
};

/// A socket with blocking calls.
class connection {
public:
    explicit connection(int descriptor) : descriptor_{descriptor} {}

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    [[nodiscard]] int descriptor() const { return descriptor_; }

    [[nodiscard]] bool write(const std::string& bytes) const;

    /// Reads a request or response with a `Content-Length`; nothing if the connection ends first.
    [[nodiscard]] std::optional<message> read();

    /// Ends both directions, so that a thread that reads goes on.
    void shut_down() const;

    /// Resets the connection instead of closing it in order when it is destroyed.
    void reset_on_close() const;

private:
    int descriptor_;
    std::string buffer_;
};

/// Accepts connections and runs a function for each on a thread of its own.
class listener {
public:
    using handler = std::function<void(const std::shared_ptr<connection>&)>;

    listener(const std::string& ip, std::uint16_t port, handler handle);
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    ~listener() { close(false); }

    /// Stops listening and ends all connections, by a reset if asked to.
    void close(bool with_reset);

private:
    void accept_all();

    handler handle_;
    int descriptor_ = -1;
    std::atomic<bool> closed_{false};
    std::mutex mutex_;
    std::list<std::weak_ptr<connection>> connections_;
    std::thread thread_;
};

/// The platform's store: rows, their changes, and transactions, as the pages describe them.
class store {
public:
    explicit store(std::uint16_t port);

    /// Writes a row as its owner would. Returns the time of the acknowledgement.
    double put(const std::string& table, const std::string& key, const std::string& value);
    double erase(const std::string& table, const std::string& key);

private:
    struct row {
        std::optional<std::string> value;
        std::uint64_t version = 0;
    };

    void serve(connection& caller);
    [[nodiscard]] std::pair<unsigned, nlohmann::json> answer(const message& call);
    [[nodiscard]] std::pair<unsigned, nlohmann::json> rows_get(const std::string& target);
    [[nodiscard]] std::pair<unsigned, nlohmann::json> rows_feed(const std::string& target);
    [[nodiscard]] std::pair<unsigned, nlohmann::json> rows_tx(const std::string& body);
    [[nodiscard]] nlohmann::json with_state(nlohmann::json rows, bool has_more) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::uint64_t version_ = 1;
    std::unique_ptr<listener> listener_;
};

/// Forwards the connections of one machine to the store. Each of them can go silent.
class tcp_proxy {
public:
    tcp_proxy(std::uint16_t port, std::uint16_t target_port);

    struct flow {
        std::mutex mutex;
        /// First line of the last call.
        std::string last_call;
        double called_at = 0;
        bool awaits_answer = false;
        std::atomic<bool> silent{false};
    };

    /// The open connection whose last call contains the text; null if there is none.
    [[nodiscard]] std::shared_ptr<flow> find(const std::string& text);

    /// Number of calls that contained the text since the given time.
    [[nodiscard]] unsigned calls_since(const std::string& text, double time);

private:
    void forward(const std::shared_ptr<connection>& caller);

    std::uint16_t target_port_;
    std::mutex mutex_;
    std::list<std::weak_ptr<flow>> flows_;
    std::vector<std::pair<double, std::string>> calls_;
    std::unique_ptr<listener> listener_;
};

/// A request that reached a server.
struct arrival {
    std::string id;
    std::string server;
    double at = 0;
    bool executed = false;
    /// It was meant for another server, and answered with 421.
    bool misdirected = false;
};

/// What servers have received, for the judgement at the end.
class arrivals {
public:
    void add(arrival one);
    [[nodiscard]] std::vector<arrival> all();

private:
    std::mutex mutex_;
    std::vector<arrival> entries_;
};

/// A server of the platform's users.
class server {
public:
    struct options {
        std::string id;
        std::string service;
        std::string zone;
        std::uint16_t port = 0;
        unsigned slots = 2;
        unsigned queue = 8;
        double work_ms = 50;
        /// A request whose target contains this text crashes the server; none if empty.
        std::string crash_text;
    };

    server(store& platform, arrivals& received, record& log, options values);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    [[nodiscard]] const std::string& id() const { return options_.id; }

    /// Reports `draining` and goes on serving. Returns the time at which the store has accepted that.
    double drain();

    /// Ends the process: all connections end, and the entry is removed.
    void leave();

    /// Called once when a request has crashed the server.
    std::function<void()> on_crash;

private:
    void write_entry();
    void beat();
    void serve(connection& caller);
    [[nodiscard]] bool begin();
    void crash();

    store& store_;
    arrivals& received_;
    record& log_;
    options options_;
    std::int64_t born_;
    std::atomic<bool> draining_{false};
    std::atomic<bool> ended_{false};
    std::atomic<int> sequence_{0};
    std::mutex mutex_;
    std::condition_variable slot_free_;
    unsigned running_ = 0;
    unsigned waiting_ = 0;
    std::unique_ptr<listener> listener_;
    std::thread heartbeat_;
};

/// A process of the program under test on a machine of its own.
class machine {
public:
    struct options {
        std::string name;
        std::string zone;
        std::string ip;
        std::uint16_t store_port = 0;
        /// Ports of a machine; the same on all machines of a case.
        std::uint16_t front_port = 0;
        std::uint16_t ready_port = 0;
        std::uint16_t control_port = 0;
        std::uint16_t directory_port = 0;
        std::uint16_t internal_port = 0;
    };

    machine(record& log, std::string folder, options values);
    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;
    ~machine();

    /// `bootstrap`: the whole system starts for the first time.
    void start(bool bootstrap);
    void signal(int number);
    /// Whether the process has ended; waits for it up to the given time.
    [[nodiscard]] bool wait_for_end(double limit_ms);
    [[nodiscard]] bool is_ready() const;

    [[nodiscard]] const options& values() const { return options_; }

    [[nodiscard]] double started_at() const { return started_at_; }

private:
    record& log_;
    std::string folder_;
    options options_;
    pid_t process_ = -1;
    double started_at_ = 0;
};

/// Fills in the ports that all machines of a case share.
[[nodiscard]] machine::options machine_ports();

/// Waits until all machines are ready; throws `not_runnable` otherwise.
void await_ready(const std::vector<std::unique_ptr<machine>>& machines, double limit_ms);

struct client_request {
    std::string id;
    std::string method = "GET";
    std::string target;
    std::string body;
    std::string key;
    unsigned deadline_ms = 2000;
};

/// Sends a request on a new connection. Status 0: no complete answer. Writes both to the record.
[[nodiscard]] unsigned send_request(record& log, const machine& to, const client_request& request);

/// A route of a configuration.
struct route {
    std::string name;
    std::string service;
    bool idempotent = false;
    unsigned attempts = 2;
    unsigned timeout_ms = 2500;
};

/// The text of a configuration with these routes, whose prefixes are their names, and one tenant with the key `key-1`.
[[nodiscard]] std::string configuration_text(unsigned version, const std::vector<route>& routes);

/// Runs a case in a temporary folder and returns its exit status: 1 if the function says that the rule was broken.
int run_case(const std::function<bool(record& log, const std::string& folder, bool trouble)>& play);

} // namespace review
