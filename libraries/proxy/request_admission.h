#pragma once

#include "libraries/proxy/admission/admission_control.h"
#include "libraries/proxy/caller_exchange.h"
#include "libraries/proxy/request_environment.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace wisterialane::proxy {

/// A response of this host itself, with its cause.
struct refusal {
    unsigned status = 503;
    std::string_view reason;
    std::optional<kernel::duration> retry_after;
};

/// What is known of a caller's request when it has been admitted. If it was refused, the members that were not yet
/// determined keep their initial values.
struct request_context {
    std::string request_id;
    kernel::time_point received_at;
    /// Keeps `route` and `customer` valid after a newer configuration was applied.
    std::shared_ptr<const routing_table> table;
    const traffic_route* route = nullptr;
    /// Null on open routes.
    const traffic_customer* customer = nullptr;
    kernel::service_name service;
    std::uint64_t fingerprint = 0;
    /// The host responds by then with what it has.
    kernel::time_point response_deadline;

    /// Empty on open routes.
    [[nodiscard]] kernel::customer_name customer_name() const
    {
        return customer == nullptr ? kernel::customer_name{} : customer->name;
    }

    /// Of an admitted request.
    [[nodiscard]] request_profile profile() const
    {
        return {service,
                {customer == nullptr ? 0 : customer->priority, route->priority},
                received_at,
                route->target_latency,
                response_deadline};
    }
};

/// Returns the route of a request, or null if it matches none. The route is valid as long as the table.
[[nodiscard]] const traffic_route* find_route(const routing_table& table, const http_request& request);

/// Decides whether a caller's request may be sent to an upstream: finds its route, checks its key and the rate of its
/// customer, and selects its service.
class request_admission {
public:
    /// `context` has the id and the time of arrival of the request; the other members are set by `admit`.
    request_admission(request_environment& environment, const http_request& request, request_context& context)
        : environment_{environment}, request_{request}, context_{context}
    {}

    [[nodiscard]] tl::expected<void, refusal> admit(kernel::time_point now);

private:
    using check = tl::expected<void, refusal>;

    [[nodiscard]] check find_route(kernel::time_point now);
    [[nodiscard]] check authenticate(kernel::time_point now);
    void set_deadline();
    [[nodiscard]] check check_quarantine(kernel::time_point now);
    [[nodiscard]] check choose_service(kernel::time_point now);

    request_environment& environment_;
    const http_request& request_;
    request_context& context_;
};

} // namespace wisterialane::proxy
