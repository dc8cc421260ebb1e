#pragma once

#include "kernel/clock.h"
#include "libraries/proxy/peer_message.h"

#include <chrono>
#include <functional>
#include <utility>
#include <vector>

namespace wisterialane::proxy {

/// Sends evidence to other hosts, in one message per interval.
///
/// Each message is a datagram to every host of the data centre. With one for each failure, many hosts that see many
/// failures fill their links, and the changes that the store reader relays are lost on them.
class evidence_outbox {
public:
    using sender = std::function<void(std::vector<shared_evidence>)>;
    /// Calls `flush` after the delay.
    using flush_scheduler = std::function<void(kernel::duration delay)>;

    /// Pieces of evidence that are sent in one message.
    static constexpr std::size_t maximum_batch = 16;
    /// Shortest time between two messages.
    static constexpr kernel::duration usual_interval = std::chrono::milliseconds{100};

    evidence_outbox(sender send, flush_scheduler flush_later)
        : send_{std::move(send)}, flush_later_{std::move(flush_later)}
    {}

    /// Sends the evidence at once if the last message is older than the interval, and with the next one otherwise. What
    /// an upstream says of itself does not wait: nothing more may be sent to an upstream that leaves.
    void add(const std::vector<shared_evidence>& evidence, kernel::time_point now,
             kernel::duration interval = usual_interval);

    /// Sends what waits.
    void flush(kernel::time_point now);

private:
    sender send_;
    flush_scheduler flush_later_;
    std::vector<shared_evidence> waiting_;
    kernel::time_point sent_at_{};
};

} // namespace wisterialane::proxy
