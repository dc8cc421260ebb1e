#pragma once

#include <string_view>

namespace wisterialane::kernel {

/// Events and failures of the kernel, numbered from 1000 to 1999.
enum class kernel_event {
    process_started = 1000,
    process_stopping = 1001,
    process_stopped = 1002,
    service_started = 1003,
    service_start_failed = 1004,
    service_name_taken = 1005,
    invalid_address = 1006,
    random_source_failed = 1007,
    no_configuration_source = 1008,
    lines_left_out = 1009,
};

[[nodiscard]] std::string_view to_name(kernel_event event);

} // namespace wisterialane::kernel
