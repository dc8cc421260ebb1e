#pragma once

#include "utilities/wisterialanectl/control_failure.h"
#include "utilities/wisterialanectl/control_settings.h"

#include <string>

#include <nlohmann/json.hpp>

namespace wisterialane::control {

/// Calls the operator interface of one host.
class control_client {
public:
    explicit control_client(const control_settings& settings) : settings_{settings} {}

    control_result<nlohmann::json> get(const std::string& target) const;

    /// Fails with `answer_lost` when the request may have had its effect.
    control_result<nlohmann::json> post(const std::string& target, const std::string& body = "{}") const;

private:
    control_result<nlohmann::json> call(const std::string& method, const std::string& target,
                                        const std::string& body) const;

    const control_settings& settings_;
};

} // namespace wisterialane::control
