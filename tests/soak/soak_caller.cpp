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
/// The caller waits longer than the deadline that it sends, so that it also sees late responses.
constexpr milliseconds response_timeout{3500};
constexpr milliseconds minimum_pause{5};
constexpr int pause_range_ms = 40;
constexpr std::size_t maximum_body_bytes = 3000;

} // namespace

soak_caller::soak_caller(caller_options options, unsigned number, unsigned seed)
    : options_{std::move(options)}, number_{number}, random_{seed + number}, timer_{options_.context.get_executor()}
{}

void soak_caller::start()
{
    send_next_request();
}

void soak_caller::stop()
{
    stopped_ = true;
}

void soak_caller::pause_before_next_request()
{
    if (stopped_) {
        close_connection();
        return;
    }
    timer_.expires_after(minimum_pause + milliseconds{random_() % pause_range_ms});
    timer_.async_wait([self = shared_from_this()](proxy::error_code cancelled) {
        if (!cancelled) {
            self->send_next_request();
        }
    });
}

void soak_caller::send_next_request()
{
    if (addresses_.empty() || options_.clock() >= addresses_expire_at_) {
        look_up_addresses();
        return;
    }
    if (stream_ && std::find(addresses_.begin(), addresses_.end(), host_) == addresses_.end()) {
        close_connection();
    }
    if (!stream_) {
        connect();
        return;
    }
    send_request();
}

void soak_caller::look_up_addresses()
{
    const auto& endpoint = options_.directory_endpoints[random_() % options_.directory_endpoints.size()];
    directory_client_ = std::make_shared<proxy::http_client>(options_.context, endpoint, options_.clock);
    const auto target = "/v1/lookup?name=gateway.example&region=r&zone=" + options_.data_centre;
    directory_client_->call({"GET", target, {}, lookup_timeout}, [self = shared_from_this()](const auto& response) {
        if (response && response->status == 200) {
            const auto document = nlohmann::json::parse(response->body, nullptr, false);
            self->addresses_ = document.value("addresses", std::vector<std::string>{});
            self->addresses_expire_at_ = self->options_.clock() + std::chrono::seconds{3};
        }
        self->pause_before_next_request();
    });
}

void soak_caller::connect()
{
    host_ = addresses_[random_() % addresses_.size()];
    stream_ = std::make_unique<proxy::tcp_stream>(options_.context.get_executor());
    stream_->expires_after(connect_timeout);
    stream_->async_connect(*proxy::parse_endpoint(kernel::socket_address{host_}),
                           [self = shared_from_this()](proxy::error_code failed) {
                               if (failed) {
                                   self->close_connection();
                                   self->addresses_.clear();
                                   self->pause_before_next_request();
                                   return;
                               }
                               self->send_request();
                           });
}

void soak_caller::send_request()
{
    const auto names = platform_adapter::platform_wire_names();
    request_id_ = "c" + std::to_string(number_) + "-" + std::to_string(++request_count_);
    auto& entry = options_.tracker.requests[request_id_];
    entry.idempotent = random_() % 2 == 0;
    entry.method = entry.idempotent ? "GET" : "POST";
    entry.target = std::string{entry.idempotent ? "/read/" : "/write/"} + request_id_;
    entry.body = entry.idempotent ? std::string{} : std::string(random_() % maximum_body_bytes, 'b');
    std::tie(entry.customer, entry.key) = options_.pick_key(static_cast<unsigned>(random_()));
    entry.host = host_;
    entry.sent_at = options_.clock();
    request_text_ = entry.method + " " + entry.target + " HTTP/1.1\r\nHost: gateway.example\r\n" + names.request_id +
                    ": " + request_id_ + "\r\n" + names.deadline + ": " + std::to_string(deadline.count()) + "\r\n" +
                    names.key + ": " + entry.key + "\r\nContent-Length: " + std::to_string(entry.body.size()) +
                    "\r\n\r\n" + entry.body;
    stream_->expires_after(response_timeout);
    boost::asio::async_write(*stream_, boost::asio::buffer(request_text_),
                             [self = shared_from_this()](proxy::error_code failed, std::size_t) {
                                 if (failed) {
                                     self->finish_request(failed);
                                     return;
                                 }
                                 self->receive_response();
                             });
}

void soak_caller::receive_response()
{
    parser_ = std::make_unique<http::response_parser<http::string_body>>();
    http::async_read(*stream_, buffer_, *parser_, [self = shared_from_this()](proxy::error_code failed, std::size_t) {
        self->finish_request(failed);
    });
}

void soak_caller::finish_request(proxy::error_code failed)
{
    auto& entry = options_.tracker.requests[request_id_];
    entry.finished = true;
    if (!failed) {
        check_response();
        if (!parser_->get().keep_alive()) {
            close_connection();
        }
        pause_before_next_request();
        return;
    }
    // A request may be lost if it arrives while the host closes an idle connection, and no upstream has executed it.
    if (!entry.executions.empty() && failed != boost::beast::error::timeout &&
        !options_.may_lose_connection(entry.host, entry.sent_at)) {
        const auto age = std::chrono::duration_cast<milliseconds>(options_.clock() - entry.sent_at).count();
        options_.tracker.report_violation("LOST", request_id_,
                                          entry.method + ", executed by " + entry.executions.back() + ": " +
                                              entry.host + " ended the connection " + std::to_string(age) +
                                              " ms after it was sent");
    }
    if (failed == boost::beast::error::timeout && !options_.may_lose_connection(entry.host, entry.sent_at)) {
        options_.tracker.report_violation("CONFIG", request_id_,
                                          "no response from " + entry.host + " one second after its deadline");
    }
    close_connection();
    pause_before_next_request();
}

void soak_caller::check_response()
{
    const auto names = platform_adapter::platform_wire_names();
    auto& entry = options_.tracker.requests[request_id_];
    const auto& response = parser_->get();
    entry.status = response.result_int();
    const bool is_signed = response.count(names.signature) > 0;
    if (entry.status / 100 == 2) {
        if (!is_signed || response.body() != edge_stand_ins::expected_body(request_id_, entry.target)) {
            options_.tracker.report_violation("MIXED", request_id_, "successful response that no upstream sent");
        }
        return;
    }
    if (is_signed && entry.status != 500) {
        options_.tracker.report_violation("MIXED", request_id_, "signed failure with a status other than 500");
    }
    const bool is_refusal = entry.status == 408 || entry.status == 421 || entry.status == 429;
    const bool is_revoked_key = entry.status == 401 && options_.is_revoked(entry.key);
    if (entry.status / 100 == 4 && !is_refusal && !is_revoked_key) {
        options_.tracker.report_violation("DENIED", request_id_,
                                          "status " + std::to_string(entry.status) + " of " + entry.host);
    }
}

void soak_caller::close_connection()
{
    stream_.reset();
    buffer_.clear();
}

} // namespace wisterialane::soak
