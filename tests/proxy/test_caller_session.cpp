#include "tests/proxy/session_fixture.h"

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

namespace wisterialane::proxy {

// Guards against handling a request whose connection this side has closed: its bytes had been read, but the completion
// handler of the read had not run yet.
TEST_CASE("caller_session: closed while a request has just been read: the request is not handled")
{
    io_context context{1};
    using acceptor_type = boost::asio::basic_socket_acceptor<tcp, io_context::executor_type>;
    acceptor_type acceptor{context.get_executor(), tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0}};
    tcp_stream::socket_type caller{context.get_executor()};
    caller.connect(acceptor.local_endpoint());
    int handled = 0;
    const auto hooks = std::make_shared<session_hooks>();
    hooks->handle_request = [&handled](const auto&) { ++handled; };
    hooks->limits = [] { return caller_limits{}; };
    hooks->is_draining = [] { return true; };
    hooks->clock = [] { return kernel::boot_clock::now(); };
    const auto session = std::make_shared<caller_session>(acceptor.accept(), hooks);
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(request));
    // The bytes have arrived after this, so that the read completes at once and only its completion handler is pending.
    context.run_for(milliseconds{50});
    context.restart();
    session->start();
    session->close(connection_end::host_stopping);
    context.run_for(milliseconds{200});
    CHECK(handled == 0);
}

// Guards against a session that is never closed: its response waited behind an interim response that could not be sent.
TEST_CASE_FIXTURE(session_fixture, "caller_session: caller resets before its interim response: the session ends")
{
    on_begin = [](caller_exchange& exchange) { exchange.respond({404, {}, {}, false}); };
    reads = false;
    const std::string request = "POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab";
    caller->set_option(boost::asio::socket_base::linger{true, 0});
    caller->write_some(boost::asio::buffer(request));
    caller->close();
    const std::weak_ptr<caller_session> weak = session;
    session.reset();
    run_until([&] {
        begun.clear();
        return closed_for.has_value();
    });
    settle();
    CHECK(closed_for == connection_end::caller_closed);
    CHECK(weak.expired());
}

// Guards against LOST at a stop: the request has arrived, the event loop has not read it yet.
TEST_CASE_FIXTURE(session_fixture, "caller_session: closed if idle while a request waits: the request is answered")
{
    const std::string request = "GET /lot HTTP/1.1\r\nHost: a\r\n\r\n";
    caller->write_some(boost::asio::buffer(request));
    session->close_if_idle();
    CHECK_FALSE(closed_for);
    run_until([this] { return begun.size() == 1; });
    answer(0);
    run_until([this] { return received_bodies().size() == 1; });
    CHECK(received_bodies() == std::vector<std::string>{"/lot"});
}

TEST_CASE_FIXTURE(session_fixture,
                  "caller_session: caller closes its side while the last response is sent: the end is recorded")
{
    constexpr std::size_t size = std::size_t{20} * 1024 * 1024;
    reads = false;
    send("GET /lot HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    begun.at(0)->respond({200, {}, std::string(size, 'x'), false});
    settle();
    caller->shutdown(tcp::socket::shutdown_send);
    settle();
    reads = true;
    run_until([this] { return received.size() > size && closed_for; });
    CHECK(closed_for == connection_end::response_sent);
    CHECK(cut_requests == 0);
}

} // namespace wisterialane::proxy
