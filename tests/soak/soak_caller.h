#pragma once

#include "libraries/proxy/http_client.h"
#include "tests/stand_ins/edge/request_tracker.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace wisterialane::soak {

/// What the callers of a run share.
struct caller_options {
    proxy::io_context& context;
    kernel::clock_source clock;
    edge_stand_ins::request_tracker& tracker;
    /// Where hosts respond to look-ups of addresses.
    std::vector<proxy::tcp::endpoint> directory_endpoints;
    std::string data_centre;
    /// Returns a customer and one of its keys, which may be revoked.
    std::function<std::pair<std::string, std::string>(unsigned)> pick_key;
    /// Whether the latest configuration no longer contains the key.
    std::function<bool(const std::string&)> is_revoked;
    /// Whether a fault of the host at this caller address may have ended the connection of a request sent at that time.
    std::function<bool(const std::string& host, kernel::time_point sent)> may_lose_connection;
};

/// Simulates a caller of the platform: looks up the addresses of hosts and caches them, keeps its connection open until
/// the host closes it, and sends one request at a time. It checks each response and never retries.
class soak_caller : public std::enable_shared_from_this<soak_caller> {
public:
    soak_caller(caller_options options, unsigned number, unsigned seed);

    void start();
    void stop();

private:
    void send_next_request();
    void look_up_addresses();
    void connect();
    void send_request();
    void receive_response();
    void finish_request(proxy::error_code failed);
    void check_response();
    void pause_before_next_request();
    void close_connection();

    caller_options options_;
    unsigned number_;
    std::mt19937 random_;
    unsigned request_count_ = 0;
    std::vector<std::string> addresses_;
    kernel::time_point addresses_expire_at_{};
    std::shared_ptr<proxy::http_client> directory_client_;
    std::string host_;
    std::unique_ptr<proxy::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
    std::unique_ptr<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
    std::string request_id_;
    std::string request_text_;
    proxy::timer timer_;
    bool stopped_ = false;
};

} // namespace wisterialane::soak
