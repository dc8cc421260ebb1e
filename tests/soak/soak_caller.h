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

/// What callers of a soak share.
struct caller_settings {
    proxy::io_context& context;
    kernel::clock_source clock;
    edge_stand_ins::request_tracker& tracker;
    /// Where hosts tell their addresses.
    std::vector<proxy::tcp::endpoint> directories;
    std::string data_centre;
    /// A customer and a key of it that may be used now.
    std::function<std::pair<std::string, std::string>(unsigned)> pick_key;
    /// Whether the newest configuration no longer holds the key.
    std::function<bool(const std::string&)> is_withdrawn;
    /// Whether the host at this caller address may have cut the request that was sent at that time.
    std::function<bool(const std::string& host, kernel::time_point sent)> excused;
};

/// A caller as the platform has them: asks a host for addresses, keeps the answer a while, keeps its connection open
/// until the host ends it, and sends one request after the other. It checks each answer and repeats nothing.
class soak_caller : public std::enable_shared_from_this<soak_caller> {
public:
    soak_caller(caller_settings use, unsigned number, unsigned seed);

    void start();
    void stop();

private:
    void next();
    void look_up();
    void connect();
    void send();
    void receive();
    void finish(proxy::error_code failed);
    void check_answer();
    void pause();
    void drop_connection();

    caller_settings use_;
    unsigned number_;
    std::mt19937 random_;
    unsigned requests_ = 0;
    std::vector<std::string> addresses_;
    kernel::time_point addresses_until_{};
    std::shared_ptr<proxy::http_client> directory_;
    std::string host_;
    std::unique_ptr<proxy::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
    std::unique_ptr<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
    std::string request_id_;
    std::string outgoing_;
    proxy::timer pause_;
    bool stopped_ = false;
};

} // namespace wisterialane::soak
