#pragma once

#include "tests/stand_ins/edge/store_stand_in.h"
#include "tests/stand_ins/edge/tcp_relay.h"
#include "tests/support/child_process.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wisterialane::soak {

/// A process of the program under test, with its settings file and the relay between it and the store.
class soak_host {
public:
    soak_host(proxy::io_context& context, kernel::clock_source clock, const proxy::tcp::endpoint& store,
              std::string name, std::string data_centre, std::uint16_t first_port);
    soak_host(const soak_host&) = delete;
    soak_host& operator=(const soak_host&) = delete;
    ~soak_host();

    /// The program of the next start, by its name in the folder of `wisterialane`.
    void set_program(std::string program) { program_ = std::move(program); }

    void start();
    void send_signal(int signal) const;
    /// Kills the process at once; its connections may be lost.
    void kill();
    /// Whether the process has exited by itself; reaps it then.
    [[nodiscard]] bool has_exited();

    /// Records a fault, or the end of one, by which connections to the host may be lost.
    void allow_connection_loss() { connection_loss_allowed_at_ = clock_(); }

    /// Whether such a fault happened after the request was sent, or at most one second before.
    [[nodiscard]] bool may_lose_connection(kernel::time_point sent) const;

    [[nodiscard]] bool is_running() const { return process_ != nullptr; }

    /// Greatest memory that the running process has used, in kilobytes; 0 if it is not known.
    [[nodiscard]] std::size_t peak_memory_kb() const;

    [[nodiscard]] const std::string& name() const { return name_; }

    [[nodiscard]] const std::string& caller_address() const { return caller_address_; }

    [[nodiscard]] const proxy::tcp::endpoint& directory_endpoint() const { return directory_endpoint_; }

    [[nodiscard]] edge_stand_ins::tcp_relay& store_relay() { return *store_relay_; }

private:
    kernel::clock_source clock_;
    std::string name_;
    std::string caller_address_;
    proxy::tcp::endpoint directory_endpoint_;
    std::string settings_path_;
    std::string program_ = "wisterialane";
    std::shared_ptr<edge_stand_ins::tcp_relay> store_relay_;
    std::unique_ptr<test_support::child_process> process_;
    std::optional<kernel::time_point> connection_loss_allowed_at_;
};

} // namespace wisterialane::soak
