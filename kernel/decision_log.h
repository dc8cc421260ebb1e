#pragma once

#include "kernel/clock.h"
#include "kernel/event_log.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace wisterialane::kernel {

/// How much goes before what when lines have to be left out.
enum class line_urgency { routine, important };

/// Structured lines on a file descriptor that never wait for its reader and are bounded in number.
///
/// Lines are collected and written by `flush`. A line that finds its rate used up, or the output full, is left out and
/// counted by event. Important lines have a rate of their own, so that routine ones cannot displace them.
class decision_log {
public:
    struct options {
        int file_descriptor = 1;
        /// Lines per second.
        double routine_rate = 20;
        double important_rate = 100;
    };

    explicit decision_log(options use);

    template <event_code Code>
    void write(time_point now, line_urgency urgency, Code code, std::initializer_list<log_field> fields = {})
    {
        append(now, urgency, static_cast<int>(code), to_name(code), fields);
    }

    /// Writes what was collected as far as the output takes it at once.
    void flush(time_point now);

    /// Lines left out since the start.
    [[nodiscard]] std::uint64_t left_out() const { return left_out_; }

private:
    struct budget {
        double lines = 0;
        time_point updated{};
    };

    void append(time_point now, line_urgency urgency, int number, std::string_view name,
                std::initializer_list<log_field> fields);
    [[nodiscard]] bool take(line_urgency urgency, time_point now);
    void leave_out(std::string_view name);
    void report_left_out(time_point now);
    [[nodiscard]] bool output_is_ready() const;

    options use_;
    budget routine_;
    budget important_;
    std::string pending_;
    std::map<std::string, std::uint64_t, std::less<>> unreported_;
    time_point reported_{};
    std::uint64_t left_out_ = 0;
};

} // namespace wisterialane::kernel
