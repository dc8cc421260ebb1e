#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/peers/envelope_codec.h"
#include "libraries/peers/messages.h"
#include "libraries/peers/traffic_counters.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace wisterialane::peers {

struct peer_response {
    kernel::instance_id sender;
    message_content content;
};

/// Calls other hosts. Thread-safe. Keeps a bounded number of channels; a channel on which a call timed out or was cut
/// is retired, because a connection can go silent for good while new ones work.
class peer_client {
public:
    static constexpr std::chrono::milliseconds default_deadline{1000};
    static constexpr std::size_t default_channel_limit = 64;

    /// The codec and the counters outlive the client.
    peer_client(const envelope_codec& codec, traffic_counters& traffic,
                std::chrono::milliseconds deadline = default_deadline,
                std::size_t channel_limit = default_channel_limit);
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    ~peer_client();

    /// Sends the request and blocks for the response, at most for the deadline. Fails with `call_timeout`,
    /// `call_failed`, `request_refused`, `request_id_mismatch` or as the codec does.
    kernel::result<peer_response> call(const kernel::socket_address& address, message_content request);

    [[nodiscard]] std::size_t channel_count() const;

private:
    class channel_cache;

    const envelope_codec& codec_;
    traffic_counters& traffic_;
    std::chrono::milliseconds deadline_;
    std::atomic<std::uint64_t> next_request_id_;
    std::unique_ptr<channel_cache> channels_;
};

} // namespace wisterialane::peers
