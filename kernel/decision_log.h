#pragma once

#include "kernel/clock.h"
#include "kernel/event_log.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace wisterialane::kernel {

/// Returns a duration as a log field: whole milliseconds, without the unit.
[[nodiscard]] std::string to_milliseconds_text(duration time);

/// Whether a line counts against the rate of routine or of important lines.
enum class line_priority { routine, important };

/// Writes structured lines to a file descriptor at a limited rate, without ever waiting for its reader.
///
/// Lines are buffered until `flush` writes them. A line that exceeds its rate, or that finds the buffer full, is
/// dropped and counted by event. Important lines have a rate of their own, so that routine lines cannot displace them.
class decision_log {
public:
    struct options {
        int file_descriptor = 1;
        /// Lines per second.
        double routine_rate = 20;
        double important_rate = 100;
    };

    explicit decision_log(options log_options);

    template <event_code Code>
    void write(time_point now, line_priority priority, Code code, std::initializer_list<log_field> fields = {})
    {
        append(now, priority, static_cast<int>(code), to_name(code), fields);
    }

    /// While paused, routine lines are dropped and counted.
    void set_routine_paused(bool paused) { routine_paused_ = paused; }

    /// Writes as much of the buffer as the output accepts without blocking.
    void flush(time_point now);

    /// Number of lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped_lines() const { return dropped_lines_; }

private:
    struct token_bucket {
        /// One for each line that may be written now.
        double tokens = 0;
        time_point updated_at{};
    };

    void append(time_point now, line_priority priority, int event_number, std::string_view event_name,
                std::initializer_list<log_field> fields);
    [[nodiscard]] bool take_token(line_priority priority, time_point now);
    void drop_line(std::string_view event_name);
    void report_dropped_lines(time_point now);
    [[nodiscard]] bool output_is_ready() const;

    options options_;
    token_bucket routine_;
    token_bucket important_;
    std::string pending_;
    std::map<std::string, std::uint64_t, std::less<>> unreported_drops_;
    time_point last_report_at_{};
    std::uint64_t dropped_lines_ = 0;
    bool routine_paused_ = false;
};

} // namespace wisterialane::kernel
