#include "kernel/kernel_events.h"

namespace wisterialane::kernel {

std::string_view to_name(kernel_event event)
{
    switch (event) {
    case kernel_event::process_started:
        return "process_started";
    case kernel_event::process_stopping:
        return "process_stopping";
    case kernel_event::process_stopped:
        return "process_stopped";
    case kernel_event::service_started:
        return "service_started";
    case kernel_event::service_start_failed:
        return "service_start_failed";
    case kernel_event::service_name_taken:
        return "service_name_taken";
    case kernel_event::invalid_address:
        return "invalid_address";
    case kernel_event::random_source_failed:
        return "random_source_failed";
    case kernel_event::no_configuration_source:
        return "no_configuration_source";
    case kernel_event::lines_left_out:
        return "lines_left_out";
    }
    return "unknown";
}

} // namespace wisterialane::kernel
