#pragma once

#include "libraries/proxy/caller_session.h"
#include "tests/proxy/proxy_fixture.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace wisterialane::proxy {

/// A session between a caller on a loopback connection and a handler that answers when the test says so. GET requests
/// are repeatable.
class session_fixture {
public:
    explicit session_fixture(caller_limits initial_limits = {}) : limits{initial_limits}
    {
        hooks_->handle_request = [this](const auto& exchange) {
            begun.push_back(exchange);
            exchange->on_disconnect([this](connection_end) { ++disconnects; });
            if (on_begin) {
                on_begin(*exchange);
            }
        };
        hooks_->limits = [this] { return limits; };
        hooks_->is_draining = [this] { return draining; };
        hooks_->clock = [this] { return now; };
        hooks_->is_repeatable = [](const auto& request) { return request.method() == boost::beast::http::verb::get; };
        hooks_->record_end = [this](auto reason, auto count) {
            closed_for = reason;
            cut_requests += count;
        };
        hooks_->record_pipeline_wait = [this](auto waited) { waits.push_back(waited); };
        connect();
    }

    void connect()
    {
        acceptor_type acceptor{context.get_executor(), tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0}};
        caller = std::make_unique<tcp_stream::socket_type>(context.get_executor());
        caller->connect(acceptor.local_endpoint());
        caller->non_blocking(true);
        session = std::make_shared<caller_session>(acceptor.accept(), hooks_);
        session->start();
    }

    void run_until(const std::function<bool()>& condition)
    {
        const auto limit = std::chrono::steady_clock::now() + seconds{20};
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < limit);
            settle();
        }
    }

    void settle()
    {
        context.restart();
        context.run_for(milliseconds{1});
        receive();
    }

    void send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            error_code error;
            sent += caller->write_some(boost::asio::buffer(bytes.data() + sent, bytes.size() - sent), error);
            REQUIRE((!error || error == boost::asio::error::would_block));
            settle();
        }
    }

    void receive()
    {
        if (!reads || caller_closed) {
            return;
        }
        std::string bytes(4096, ' ');
        error_code error;
        const auto count = caller->read_some(boost::asio::buffer(bytes), error);
        received.append(bytes, 0, count);
        caller_closed = error && error != boost::asio::error::would_block;
    }

    void answer(std::size_t index, unsigned status = 200)
    {
        begun.at(index)->respond({status, {}, target(index), false});
    }

    [[nodiscard]] std::string target(std::size_t index) const
    {
        return std::string{begun.at(index)->request().target()};
    }

    /// The bodies of the received responses, which are the targets of their requests.
    [[nodiscard]] std::vector<std::string> received_bodies() const
    {
        std::vector<std::string> bodies;
        std::size_t position = 0;
        while ((position = received.find("\r\n\r\n", position)) != std::string::npos) {
            position += 4;
            bodies.push_back(received.substr(position, received.find("HTTP/1.1", position) - position));
        }
        return bodies;
    }

    io_context context{1};
    kernel::time_point now = test_start;
    std::vector<std::shared_ptr<caller_exchange>> begun;
    std::function<void(caller_exchange&)> on_begin;
    std::vector<kernel::duration> waits;
    int disconnects = 0;
    /// Why the session was closed, and how many requests got no response because of it.
    std::optional<connection_end> closed_for;
    std::size_t cut_requests = 0;
    caller_limits limits;
    bool draining = false;
    bool reads = true;
    bool caller_closed = false;
    std::string received;
    std::unique_ptr<tcp_stream::socket_type> caller;
    std::shared_ptr<caller_session> session;

private:
    using acceptor_type = boost::asio::basic_socket_acceptor<tcp, io_context::executor_type>;

    std::shared_ptr<session_hooks> hooks_ = std::make_shared<session_hooks>();
};

} // namespace wisterialane::proxy
