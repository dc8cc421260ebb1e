#include "kernel/decision_log.h"

#include "kernel/kernel_events.h"

#include <algorithm>
#include <chrono>

#include <poll.h>
#include <unistd.h>

namespace wisterialane::kernel {
namespace {

/// A pipe takes a write of up to this size whole or not at all.
constexpr std::size_t write_bytes = 4096;
constexpr std::size_t maximum_pending_bytes = 64 * 1024;
constexpr duration report_pause = std::chrono::seconds{1};
/// Seconds of the rate that may be used at once.
constexpr double burst_seconds = 2;

std::int64_t unix_milliseconds()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

} // namespace

decision_log::decision_log(options use)
    : use_{use}, routine_{burst_seconds * use.routine_rate, {}}, important_{burst_seconds * use.important_rate, {}}
{}

void decision_log::append(time_point now, line_urgency urgency, int number, std::string_view name,
                          std::initializer_list<log_field> fields)
{
    if (pending_.size() >= maximum_pending_bytes || !take(urgency, now)) {
        leave_out(name);
        return;
    }
    pending_ += "time=" + std::to_string(unix_milliseconds()) + " ";
    pending_ += detail::format_event(number, name, fields);
    pending_ += '\n';
    if (pending_.size() >= write_bytes) {
        flush(now);
    }
}

bool decision_log::take(line_urgency urgency, time_point now)
{
    auto& used = urgency == line_urgency::important ? important_ : routine_;
    const double rate = urgency == line_urgency::important ? use_.important_rate : use_.routine_rate;
    const std::chrono::duration<double> elapsed = std::max(duration::zero(), now - used.updated);
    used.lines = std::min(burst_seconds * rate, used.lines + elapsed.count() * rate);
    used.updated = now;
    if (used.lines < 1) {
        return false;
    }
    used.lines -= 1;
    return true;
}

void decision_log::leave_out(std::string_view name)
{
    ++left_out_;
    ++unreported_[std::string{name}];
}

void decision_log::report_left_out(time_point now)
{
    if (unreported_.empty() || now - reported_ < report_pause || pending_.size() >= maximum_pending_bytes) {
        return;
    }
    reported_ = now;
    for (const auto& [name, count] : unreported_) {
        pending_ += "time=" + std::to_string(unix_milliseconds()) + " ";
        pending_ +=
            detail::format_event(static_cast<int>(kernel_event::lines_left_out), to_name(kernel_event::lines_left_out),
                                 {{"of", name}, {"count", std::to_string(count)}});
        pending_ += '\n';
    }
    unreported_.clear();
}

bool decision_log::output_is_ready() const
{
    pollfd waiting{use_.file_descriptor, POLLOUT, 0};
    return ::poll(&waiting, 1, 0) == 1 && (waiting.revents & POLLOUT) != 0;
}

void decision_log::flush(time_point now)
{
    report_left_out(now);
    std::size_t written = 0;
    while (written < pending_.size() && output_is_ready()) {
        const auto size = std::min(write_bytes, pending_.size() - written);
        const auto count = ::write(use_.file_descriptor, pending_.data() + written, size);
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    pending_.erase(0, written);
}

} // namespace wisterialane::kernel
