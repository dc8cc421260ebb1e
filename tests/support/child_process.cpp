#include "tests/support/child_process.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace wisterialane::test_support {
namespace {

using clock = std::chrono::steady_clock;

pid_t spawn(const std::string& path, const std::vector<std::string>& arguments, const std::string& log, int output)
{
    std::vector<char*> argument_pointers{const_cast<char*>(path.c_str())};
    for (const auto& argument : arguments) {
        argument_pointers.push_back(const_cast<char*>(argument.c_str()));
    }
    argument_pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND,
                                     0600);
    pid_t process = -1;
    if (posix_spawn(&process, path.c_str(), &actions, nullptr, argument_pointers.data(), environ) != 0) {
        process = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    return process;
}

} // namespace

std::string temporary_folder()
{
    const char* folder = std::getenv("TMPDIR");
    return folder == nullptr ? "/tmp" : folder;
}

child_process::child_process(std::string name, const std::string& program, const std::vector<std::string>& arguments)
    : log_path_{temporary_folder() + "/wisterialane-" + std::to_string(::getpid()) + "-" + std::move(name) + ".log"}
{
    std::array<int, 2> pipe_ends{};
    if (::pipe2(pipe_ends.data(), O_CLOEXEC) != 0) {
        return;
    }
    output_ = pipe_ends[0];
    process_ = spawn(std::string{WL_BINARY_DIRECTORY} + "/" + program, arguments, log_path_, pipe_ends[1]);
    ::close(pipe_ends[1]);
}

child_process::child_process(child_process&& other) noexcept
    : log_path_{std::move(other.log_path_)}, process_{std::exchange(other.process_, -1)},
      output_{std::exchange(other.output_, -1)}, unread_output_{std::move(other.unread_output_)}
{}

child_process::~child_process()
{
    if (process_ > 0) {
        // A stopped process takes SIGKILL as well.
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
    }
    if (output_ >= 0) {
        ::close(output_);
    }
    if (!log_path_.empty() && std::getenv("WISTERIALANE_KEEP_TEST_LOGS") == nullptr) {
        ::unlink(log_path_.c_str());
    }
}

std::optional<std::string> child_process::wait_for_line(const std::string& beginning, std::chrono::milliseconds limit)
{
    const auto deadline = clock::now() + limit;
    while (true) {
        for (auto end = unread_output_.find('\n'); end != std::string::npos; end = unread_output_.find('\n')) {
            const auto line = unread_output_.substr(0, end);
            unread_output_.erase(0, end + 1);
            if (line.rfind(beginning, 0) == 0) {
                return line.substr(beginning.size());
            }
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - clock::now()).count();
        pollfd readable{output_, POLLIN, 0};
        std::array<char, 4096> buffer{};
        if (left <= 0 || ::poll(&readable, 1, static_cast<int>(left)) <= 0) {
            return std::nullopt;
        }
        const auto count = ::read(output_, buffer.data(), buffer.size());
        if (count <= 0) {
            return std::nullopt;
        }
        unread_output_.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

void child_process::send_signal(int signal) const
{
    if (process_ > 0) {
        ::kill(process_, signal);
    }
}

std::optional<int> child_process::wait_for_exit(std::chrono::milliseconds limit)
{
    const auto deadline = clock::now() + limit;
    while (process_ > 0) {
        int status = 0;
        const auto ended = ::waitpid(process_, &status, WNOHANG);
        if (ended == process_) {
            process_ = -1;
            return WIFEXITED(status) ? std::optional{WEXITSTATUS(status)} : std::nullopt;
        }
        if (clock::now() >= deadline) {
            return std::nullopt;
        }
        // Polls, because waitpid has no timeout.
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    return std::nullopt;
}

std::string child_process::log() const
{
    std::ifstream file{log_path_};
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace wisterialane::test_support
