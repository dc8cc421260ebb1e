#pragma once

#include "kernel/clock.h"
#include "kernel/failure.h"
#include "kernel/service.h"
#include "libraries/configuration/configuration_view.h"
#include "libraries/http/server.h"
#include "libraries/platform/object_store.h"
#include "libraries/platform/table.h"
#include "services/operator_api.h"
#include "services/operator_directory.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisterialane::services {

/// A read-only page beside the API, for example for metrics. Called on many threads at once.
using operator_page = std::function<http::buffered_response()>;

struct operator_service_settings {
    http::server_settings server;
    /// `name:sha256hex` of each operator's token.
    std::vector<std::string> operators;
    /// Extra pages by their path, such as `/metrics`; they need a token as everything else does.
    std::map<std::string, operator_page> pages;
    kernel::clock_source clock = kernel::boot_clock::now;
};

/// HTTP interface for operators; `operator_api` lists what it offers. Requests without the token of a known operator
/// get 401, whatever they ask for.
class operator_service final : public kernel::service {
public:
    /// The collaborators must outlive the service. Fails with `invalid_operator_entry`.
    static kernel::result<std::unique_ptr<operator_service>> create(configuration::configuration_view& view,
                                                                    platform::table& table,
                                                                    platform::object_store& objects,
                                                                    operator_service_settings settings);

    [[nodiscard]] std::string_view name() const override { return "operator"; }

    kernel::result<void> start() override;
    void stop() override;

    /// The address in use, with the real port; valid while started.
    [[nodiscard]] const kernel::socket_address& address() const { return server_->address(); }

private:
    operator_service(configuration::configuration_view& view, platform::table& table, platform::object_store& objects,
                     operator_service_settings settings, operator_directory directory);

    void handle(http::server_exchange& exchange);
    operator_response answer(http::server_exchange& exchange, operator_request request);

    operator_service_settings settings_;
    operator_directory directory_;
    operator_api api_;
    std::unique_ptr<http::server> server_;
};

} // namespace wisterialane::services
