#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/http/server.h"
#include "tests/stand_ins/upstream/request_record.h"
#include "tests/stand_ins/upstream/upstream_mode.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>

namespace wisterialane::stand_ins {

struct stand_in_settings {
    kernel::socket_address address;
    unsigned slots = 2;
    unsigned connections = 300;
    std::chrono::milliseconds service_time{1};
    /// After a start, requests take five times as long for this time.
    std::chrono::milliseconds cold_start{0};
};

/// An upstream server for tests, whose faults are switched over HTTP under `/control/`:
/// `GET` and `POST /control/mode`, `GET` and `DELETE /control/requests`, `GET /control/state`.
class upstream_stand_in {
public:
    explicit upstream_stand_in(stand_in_settings settings);
    ~upstream_stand_in();
    upstream_stand_in(const upstream_stand_in&) = delete;
    upstream_stand_in& operator=(const upstream_stand_in&) = delete;

    /// Listens; fails as `http::server::create` does.
    kernel::result<kernel::socket_address> start();

    /// Takes the server down after a crash and up again after the down time. Called often from one thread. CivetWeb
    /// notices the end on idle connections within 2 s, so the down time may be longer by this when callers keep some
    /// open.
    void maintain();

private:
    /// The part of a body that is searched for the crash text.
    static constexpr std::size_t searched_bytes = 64 * 1024;

    struct received_body {
        std::string start;
        std::uint64_t length = 0;
        std::uint64_t checksum = 0;
    };

    /// How the wait for a slot and for the service time ended.
    enum class wait_result { done, aborted };

    void handle(http::server_exchange& exchange);
    void handle_control(http::server_exchange& exchange);
    void handle_mode(http::server_exchange& exchange);
    void handle_request(http::server_exchange& exchange);
    void answer(http::server_exchange& exchange, const upstream_mode& mode, const received_body& body);
    void send_answer(http::server_exchange& exchange, int status, const http::header_list& headers, std::uint64_t count,
                     fault kind);
    static std::optional<received_body> receive_body(http::server_exchange& exchange);
    wait_result serve_in_slot(const upstream_mode& mode, std::size_t number);
    void wait_silently(std::uint64_t epoch);
    void crash(const upstream_mode& mode);
    [[nodiscard]] upstream_mode current_mode() const;
    [[nodiscard]] bool draw(double share);
    [[nodiscard]] std::string other_nonce(const std::string& own);
    [[nodiscard]] std::string state_json() const;

    stand_in_settings settings_;
    request_record record_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    upstream_mode mode_;
    std::mt19937_64 random_{std::random_device{}()};
    std::string last_nonce_;
    /// Rises with each crash and at the end; whoever waits gives up then.
    std::uint64_t epoch_ = 0;
    unsigned in_service_ = 0;
    unsigned most_in_service_ = 0;
    std::uint64_t served_ = 0;
    std::uint64_t crashes_ = 0;
    bool crashed_ = false;
    kernel::time_point up_at_;
    kernel::time_point started_;
    /// Used by the thread of `maintain` only.
    std::unique_ptr<http::server> server_;
};

} // namespace wisterialane::stand_ins
