#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace wisterialane::test_support {

/// Where tests keep files for their own run.
[[nodiscard]] std::string temporary_folder();

/// A program of this build, started with its standard output on a pipe and its log in a temporary file. Killed when the
/// object is destroyed.
class child_process {
public:
    /// `name` labels the log; `program` is a file name in the build's binary folder.
    child_process(std::string name, const std::string& program, const std::vector<std::string>& arguments);
    child_process(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process& operator=(child_process&&) = delete;
    ~child_process();

    /// Waits until the program prints a line that starts with `beginning`; the rest of that line. Nothing if the
    /// program ends or the time runs out first.
    std::optional<std::string> wait_for_line(const std::string& beginning, std::chrono::milliseconds limit);

    void send_signal(int signal) const;

    /// Waits for the end; the exit code, or nothing if the time runs out or a signal ended it.
    std::optional<int> wait_for_exit(std::chrono::milliseconds limit);

    [[nodiscard]] const std::string& log_path() const { return log_path_; }

    /// Everything that the program wrote to standard error so far.
    [[nodiscard]] std::string log() const;

    [[nodiscard]] pid_t id() const { return process_; }

private:
    std::string log_path_;
    pid_t process_ = -1;
    int output_ = -1;
    std::string unread_output_;
};

} // namespace wisterialane::test_support
