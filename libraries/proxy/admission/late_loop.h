#pragma once

#include "libraries/proxy/caller_exchange.h"
#include "libraries/proxy/membership/event_loop_delay.h"
#include "libraries/proxy/network.h"

#include <functional>
#include <memory>
#include <optional>

namespace wisterialane::proxy {

/// Returns how much earlier than its deadline a request is given up while the event loop is late: it may have waited
/// before it was read, and the timer that ends it may expire late. Zero while the loop is not late.
///
/// @param timeout time that the caller allows for the request.
[[nodiscard]] kernel::duration late_loop_reserve(const event_loop_delay& delay, kernel::duration timeout);

/// Returns after which time a request may be sent again that must be refused because the event loop is so late that it
/// cannot be passed on and answered in its remaining time, or nothing if it can be.
///
/// @param usual_latency usual time from sending a request to an upstream to its response.
[[nodiscard]] std::optional<kernel::duration>
refusal_of_late_loop(const event_loop_delay& delay, kernel::duration usual_latency, kernel::duration remaining);

/// Begins a request after the work of the event loop that is ready now, so that responses that have arrived are
/// delivered first. A request whose caller disconnects before does not begin.
void begin_after_ready_work(io_context& context, const std::shared_ptr<caller_exchange>& exchange,
                            std::function<void(const std::shared_ptr<caller_exchange>&)> begin);

} // namespace wisterialane::proxy
