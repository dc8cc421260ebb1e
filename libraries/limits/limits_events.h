#pragma once

#include <string_view>

namespace wisterialane::limits {

/// Events and failures 5000 to 5999.
enum class limits_event {
    lender_unreachable = 5000,
    lender_recovered = 5001,
    malformed_loan_request = 5002,
    shares_changed = 5003,
};

[[nodiscard]] std::string_view to_name(limits_event event);

} // namespace wisterialane::limits
