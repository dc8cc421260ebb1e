#include "libraries/proxy/admission/late_loop.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

namespace wisterialane::proxy {
namespace {

using milliseconds = std::chrono::milliseconds;

/// A request waits for the event loop before its connection is open and before its response is read.
constexpr int passes_to_upstream = 2;
/// A request waits for the event loop before it is read; so does the timer of its deadline.
constexpr int passes_at_deadline = 2;
/// The reserve takes at most this part of the time that the caller allows.
constexpr int maximum_reserve_part = 4;
/// A late host recovers within about a second once it gets fewer requests; other hosts may serve the request sooner.
constexpr milliseconds minimum_retry_after{300};
constexpr milliseconds maximum_retry_after{1000};
/// Callers wait for at most a third of their remaining time.
constexpr int retry_after_part = 3;

} // namespace

kernel::duration late_loop_reserve(const event_loop_delay& delay, kernel::duration timeout)
{
    if (!delay.is_late()) {
        return {};
    }
    return std::min(passes_at_deadline * delay.present(), timeout / maximum_reserve_part);
}

std::optional<kernel::duration> refusal_of_late_loop(const event_loop_delay& delay, kernel::duration usual_latency,
                                                     kernel::duration remaining)
{
    if (!delay.is_late() || usual_latency + passes_to_upstream * delay.present() <= remaining) {
        return std::nullopt;
    }
    const auto wait = std::clamp<kernel::duration>(delay.present(), minimum_retry_after, maximum_retry_after);
    return std::min(wait, remaining / retry_after_part);
}

void begin_after_ready_work(io_context& context, const std::shared_ptr<caller_exchange>& exchange,
                            std::function<void(const std::shared_ptr<caller_exchange>&)> begin)
{
    const auto disconnected = std::make_shared<bool>(false);
    exchange->on_disconnect([disconnected](connection_end) { *disconnected = true; });
    boost::asio::post(context, [exchange, disconnected, begin = std::move(begin)] {
        exchange->on_disconnect(nullptr);
        if (!*disconnected) {
            begin(exchange);
        }
    });
}

} // namespace wisterialane::proxy
