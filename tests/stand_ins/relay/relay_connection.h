#pragma once

#include <atomic>
#include <thread>

namespace wisterialane::relay {

/// What the relay drops while it keeps connections open.
struct cut_state {
    std::atomic<bool> to_server{false};
    std::atomic<bool> to_client{false};
};

/// Copies bytes between two sockets in both directions until either end closes. While a direction is cut its bytes stay
/// unread, so the connection goes silent without an error.
class relay_connection {
public:
    relay_connection(int client, int server, const cut_state& cuts);
    relay_connection(const relay_connection&) = delete;
    relay_connection& operator=(const relay_connection&) = delete;
    ~relay_connection();

    [[nodiscard]] bool finished() const { return finished_; }

private:
    void run();

    int client_;
    int server_;
    const cut_state& cuts_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> finished_{false};
    std::thread thread_;
};

} // namespace wisterialane::relay
