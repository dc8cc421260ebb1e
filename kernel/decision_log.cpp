#include "kernel/decision_log.h"

#include "kernel/kernel_events.h"

#include <algorithm>
#include <chrono>

#include <poll.h>
#include <unistd.h>

namespace wisterialane::kernel {
namespace {

/// PIPE_BUF: a write of up to this size to a pipe is atomic.
constexpr std::size_t atomic_write_bytes = 4096;
constexpr std::size_t maximum_pending_bytes = 64 * 1024;
constexpr duration report_interval = std::chrono::seconds{1};
/// Capacity of a token bucket, in seconds of its rate.
constexpr double burst_seconds = 2;

std::int64_t unix_milliseconds()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

} // namespace

std::string to_milliseconds_text(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

decision_log::decision_log(options log_options)
    : options_{log_options},
      // Both buckets start full.
      routine_{burst_seconds * log_options.routine_rate, {}}, important_{burst_seconds * log_options.important_rate, {}}
{}

void decision_log::append(time_point now, line_priority priority, int event_number, std::string_view event_name,
                          std::initializer_list<log_field> fields)
{
    const bool paused = routine_paused_ && priority == line_priority::routine;
    if (paused || pending_.size() >= maximum_pending_bytes || !take_token(priority, now)) {
        drop_line(event_name);
        return;
    }
    pending_ += "time=" + std::to_string(unix_milliseconds()) + " ";
    pending_ += detail::format_event(event_number, event_name, fields);
    pending_ += '\n';
    if (pending_.size() >= atomic_write_bytes) {
        flush(now);
    }
}

bool decision_log::take_token(line_priority priority, time_point now)
{
    auto& bucket = priority == line_priority::important ? important_ : routine_;
    const double rate = priority == line_priority::important ? options_.important_rate : options_.routine_rate;
    const std::chrono::duration<double> elapsed = std::max(duration::zero(), now - bucket.updated_at);
    bucket.tokens = std::min(burst_seconds * rate, bucket.tokens + elapsed.count() * rate);
    bucket.updated_at = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void decision_log::drop_line(std::string_view event_name)
{
    ++dropped_lines_;
    ++unreported_drops_[std::string{event_name}];
}

void decision_log::report_dropped_lines(time_point now)
{
    if (unreported_drops_.empty() || now - last_report_at_ < report_interval ||
        pending_.size() >= maximum_pending_bytes) {
        return;
    }
    last_report_at_ = now;
    for (const auto& [event_name, count] : unreported_drops_) {
        pending_ += "time=" + std::to_string(unix_milliseconds()) + " ";
        pending_ +=
            detail::format_event(static_cast<int>(kernel_event::lines_left_out), to_name(kernel_event::lines_left_out),
                                 {{"of", event_name}, {"count", std::to_string(count)}});
        pending_ += '\n';
    }
    unreported_drops_.clear();
}

bool decision_log::output_is_ready() const
{
    pollfd output{options_.file_descriptor, POLLOUT, 0};
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

void decision_log::flush(time_point now)
{
    report_dropped_lines(now);
    std::size_t written = 0;
    while (written < pending_.size() && output_is_ready()) {
        const auto size = std::min(atomic_write_bytes, pending_.size() - written);
        const auto count = ::write(options_.file_descriptor, pending_.data() + written, size);
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    pending_.erase(0, written);
}

} // namespace wisterialane::kernel
