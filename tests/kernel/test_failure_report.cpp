#include "kernel/failure_report.h"

#include <array>
#include <csignal>
#include <string>

#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

namespace wisterialane::kernel {

TEST_CASE("failure_report: process ends by an invalid memory access: its last lines name the signal")
{
    std::array<int, 2> output{};
    REQUIRE(::pipe(output.data()) == 0);
    const auto child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        ::dup2(output[1], STDOUT_FILENO);
        install_failure_report();
        std::raise(SIGSEGV);
        ::_exit(0);
    }
    ::close(output[1]);
    std::string text;
    std::array<char, 4096> part{};
    for (auto count = ::read(output[0], part.data(), part.size()); count > 0;
         count = ::read(output[0], part.data(), part.size())) {
        text.append(part.data(), static_cast<std::size_t>(count));
    }
    ::close(output[0]);
    int status = 0;
    REQUIRE(::waitpid(child, &status, 0) == child);
    CHECK(WIFSIGNALED(status));
    CHECK(WTERMSIG(status) == SIGSEGV);
    CHECK(text.find("SIGSEGV") != std::string::npos);
}

} // namespace wisterialane::kernel
