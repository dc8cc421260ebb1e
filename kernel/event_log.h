#pragma once

#include "kernel/failure.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace wisterialane::kernel {

enum class severity { information, warning, error };

/// One `key=value` pair of a log line. Values never hold secrets.
struct log_field {
    std::string_view key;
    std::string value;
};

namespace detail {
/// Formats `event=<number> name=<name> key=value ...`, with quotes around values that need them.
[[nodiscard]] std::string format_event(int number, std::string_view name, std::initializer_list<log_field> fields);

void write_event(severity level, int number, std::string_view name, std::initializer_list<log_field> fields);
} // namespace detail

/// Writes one line to standard error: `event=<number> name=<name> key=value ...`.
template <event_code Code>
void log_event(severity level, Code code, std::initializer_list<log_field> fields = {})
{
    detail::write_event(level, static_cast<int>(code), to_name(code), fields);
}

/// Writes the number, name and subject of a failure.
void log_failure(severity level, const failure& reason, std::initializer_list<log_field> fields = {});

/// Directs the log to standard error, because hosts have no disks. Must be called once, at the start of `main`.
void initialize_event_log(const char* program_name);

} // namespace wisterialane::kernel
