#pragma once

#include "tests/stand_ins/edge/request_tracker.h"
#include "tests/stand_ins/edge/store_stand_in.h"

#include <optional>
#include <string>

namespace wisterialane::edge_stand_ins {

enum class upstream_mode {
    healthy,
    /// Resets most requests without running them.
    resets_connections,
    /// Runs requests and never answers.
    hangs,
    /// Answers most requests with an error of its own.
    returns_errors,
    /// Runs requests and breaks the connection in place of some answers.
    drops_responses,
};

/// An upstream of the platform: registers itself in the store, runs requests in its slots, checks what arrives.
class upstream_stand_in {
public:
    struct options {
        std::string id;
        std::string service;
        std::string data_centre;
        proxy::tcp::endpoint listen;
        /// The address in its entry, that of a relay for instance.
        std::string registered;
        unsigned slots = 4;
        std::chrono::milliseconds work{20};
    };

    upstream_stand_in(proxy::io_context& context, kernel::clock_source clock, store_stand_in& store,
                      request_tracker& tracker, options use);

    /// Fails with `listen_failed`.
    kernel::result<void> start();

    void set_mode(upstream_mode mode) { mode_ = mode; }

    /// Announces that it leaves; it goes on serving.
    void leave();

    /// Removes its entry.
    void remove();

    [[nodiscard]] const std::string& id() const { return use_.id; }

private:
    using session_pointer = std::shared_ptr<proxy::caller_session>;

    void write_entry();
    void handle(const session_pointer& session);
    void check(const std::string& request_id, const proxy::http_request& request);
    void run(const session_pointer& session, const std::string& request_id);
    void finish(const session_pointer& session, const std::string& request_id);
    void refuse(const session_pointer& session, unsigned status) const;

    proxy::io_context& context_;
    kernel::clock_source clock_;
    store_stand_in& store_;
    request_tracker& tracker_;
    options use_;
    std::shared_ptr<proxy::caller_listener> listener_;
    proxy::timer heartbeat_;
    upstream_mode mode_ = upstream_mode::healthy;
    std::optional<kernel::time_point> leaving_since_;
    bool removed_ = false;
    unsigned busy_ = 0;
    unsigned handled_ = 0;
    unsigned beats_ = 0;
};

} // namespace wisterialane::edge_stand_ins
