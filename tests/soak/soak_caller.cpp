#include "tests/soak/soak_caller.h"

#include "libraries/proxy/message_headers.h"
#include "platform/node_settings.h"

#include <algorithm>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <nlohmann/json.hpp>

namespace wisterialane::soak {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr milliseconds lookup_timeout{1000};
constexpr milliseconds connect_timeout{1000};
constexpr milliseconds deadline{2500};
/// The caller waits a little longer than it says.
constexpr milliseconds patience{3500};
constexpr milliseconds shortest_pause{5};
constexpr int pause_range = 40;
constexpr std::size_t longest_body = 3000;

} // namespace

soak_caller::soak_caller(caller_settings use, unsigned number, unsigned seed)
    : use_{std::move(use)}, number_{number}, random_{seed + number}, pause_{use_.context.get_executor()}
{}

void soak_caller::start()
{
    next();
}

void soak_caller::stop()
{
    stopped_ = true;
}

void soak_caller::pause()
{
    if (stopped_) {
        drop_connection();
        return;
    }
    pause_.expires_after(shortest_pause + milliseconds{random_() % pause_range});
    pause_.async_wait([self = shared_from_this()](proxy::error_code cancelled) {
        if (!cancelled) {
            self->next();
        }
    });
}

void soak_caller::next()
{
    if (addresses_.empty() || use_.clock() >= addresses_until_) {
        look_up();
        return;
    }
    if (stream_ && std::find(addresses_.begin(), addresses_.end(), host_) == addresses_.end()) {
        drop_connection();
    }
    if (!stream_) {
        connect();
        return;
    }
    send();
}

void soak_caller::look_up()
{
    const auto& where = use_.directories[random_() % use_.directories.size()];
    directory_ = std::make_shared<proxy::http_client>(use_.context, where, use_.clock);
    const auto target = "/v1/lookup?name=gateway.example&region=r&zone=" + use_.data_centre;
    directory_->call({"GET", target, {}, lookup_timeout}, [self = shared_from_this()](const auto& response) {
        if (response && response->status == 200) {
            const auto document = nlohmann::json::parse(response->body, nullptr, false);
            self->addresses_ = document.value("addresses", std::vector<std::string>{});
            self->addresses_until_ = self->use_.clock() + std::chrono::seconds{3};
        }
        self->pause();
    });
}

void soak_caller::connect()
{
    host_ = addresses_[random_() % addresses_.size()];
    stream_ = std::make_unique<proxy::tcp_stream>(use_.context.get_executor());
    stream_->expires_after(connect_timeout);
    stream_->async_connect(*proxy::parse_endpoint(kernel::socket_address{host_}),
                           [self = shared_from_this()](proxy::error_code failed) {
                               if (failed) {
                                   self->drop_connection();
                                   self->addresses_.clear();
                                   self->pause();
                                   return;
                               }
                               self->send();
                           });
}

void soak_caller::send()
{
    const auto names = platform_adapter::platform_wire_names();
    request_id_ = "c" + std::to_string(number_) + "-" + std::to_string(++requests_);
    auto& entry = use_.tracker.requests[request_id_];
    entry.idempotent = random_() % 2 == 0;
    entry.method = entry.idempotent ? "GET" : "POST";
    entry.target = std::string{entry.idempotent ? "/read/" : "/write/"} + request_id_;
    entry.body = entry.idempotent ? std::string{} : std::string(random_() % longest_body, 'b');
    std::tie(entry.customer, entry.key) = use_.pick_key(static_cast<unsigned>(random_()));
    entry.host = host_;
    entry.sent_at = use_.clock();
    outgoing_ = entry.method + " " + entry.target + " HTTP/1.1\r\nHost: gateway.example\r\n" + names.request_id + ": " +
                request_id_ + "\r\n" + names.deadline + ": " + std::to_string(deadline.count()) + "\r\n" + names.key +
                ": " + entry.key + "\r\nContent-Length: " + std::to_string(entry.body.size()) + "\r\n\r\n" + entry.body;
    stream_->expires_after(patience);
    boost::asio::async_write(*stream_, boost::asio::buffer(outgoing_),
                             [self = shared_from_this()](proxy::error_code failed, std::size_t) {
                                 if (failed) {
                                     self->finish(failed);
                                     return;
                                 }
                                 self->receive();
                             });
}

void soak_caller::receive()
{
    parser_ = std::make_unique<http::response_parser<http::string_body>>();
    http::async_read(*stream_, buffer_, *parser_,
                     [self = shared_from_this()](proxy::error_code failed, std::size_t) { self->finish(failed); });
}

void soak_caller::finish(proxy::error_code failed)
{
    auto& entry = use_.tracker.requests[request_id_];
    entry.finished = true;
    if (!failed) {
        check_answer();
        if (!parser_->get().keep_alive()) {
            drop_connection();
        }
        pause();
        return;
    }
    // A request that crosses the end of a kept connection and is passed on to nobody may be lost.
    if (!entry.executions.empty() && failed != boost::beast::error::timeout &&
        !use_.excused(entry.host, entry.sent_at)) {
        const auto age = std::chrono::duration_cast<milliseconds>(use_.clock() - entry.sent_at).count();
        use_.tracker.report_violation("LOST", request_id_,
                                      entry.method + ", ran at " + entry.executions.back() + ": " + entry.host +
                                          " ended the connection " + std::to_string(age) + " ms after it was sent");
    }
    if (failed == boost::beast::error::timeout && !use_.excused(entry.host, entry.sent_at)) {
        use_.tracker.report_violation("CONFIG", request_id_,
                                      "no answer of " + entry.host + " a second past its deadline");
    }
    drop_connection();
    pause();
}

void soak_caller::check_answer()
{
    const auto names = platform_adapter::platform_wire_names();
    auto& entry = use_.tracker.requests[request_id_];
    const auto& answer = parser_->get();
    entry.status = answer.result_int();
    const bool is_signed = answer.count(names.signature) > 0;
    if (entry.status / 100 == 2) {
        if (!is_signed || answer.body() != edge_stand_ins::expected_body(request_id_, entry.target)) {
            use_.tracker.report_violation("MIXED", request_id_, "success that no upstream gave to it");
        }
        return;
    }
    if (is_signed && entry.status != 500) {
        use_.tracker.report_violation("MIXED", request_id_, "signed failure with another status");
    }
    const bool may_refuse = entry.status == 408 || entry.status == 421 || entry.status == 429;
    const bool unknown_key = entry.status == 401 && use_.is_withdrawn(entry.key);
    if (entry.status / 100 == 4 && !may_refuse && !unknown_key) {
        use_.tracker.report_violation("DENIED", request_id_,
                                      "status " + std::to_string(entry.status) + " of " + entry.host);
    }
}

void soak_caller::drop_connection()
{
    stream_.reset();
    buffer_.clear();
}

} // namespace wisterialane::soak
