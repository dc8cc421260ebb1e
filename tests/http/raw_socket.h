#pragma once

#include "kernel/identifiers.h"

#include <string>
#include <thread>

namespace wisterialane::http {

/// Sends bytes on a new connection, ends the sending side, and returns all bytes that come back until the close.
std::string send_raw(const kernel::socket_address& address, const std::string& bytes);

/// A listening socket on a free port that accepts connections and says nothing, or gives one prepared answer.
class raw_listener {
public:
    raw_listener();
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;
    ~raw_listener();

    [[nodiscard]] kernel::socket_address address() const;

    /// Answers the next connection with these bytes after its first request bytes, then closes it.
    void answer_next(std::string bytes);

private:
    int listener_;
    std::thread thread_;
};

} // namespace wisterialane::http
