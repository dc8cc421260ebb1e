#include "libraries/platform/http_platform.h"

#include <csignal>
#include <string>

#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

namespace wisterialane::stand_ins {
namespace {

// Guards against a program that scripts cannot wait for or stop.
TEST_CASE("platform_stand_in: free port: prints its address, serves, and ends with 0 on SIGTERM")
{
    int ends[2] = {};
    REQUIRE(::pipe(ends) == 0);
    const pid_t process = ::fork();
    if (process == 0) {
        ::dup2(ends[1], STDOUT_FILENO);
        ::execl(WL_BINARY_DIRECTORY "/platform_stand_in", "platform_stand_in", "--address", "127.0.0.1:0", nullptr);
        ::_exit(127);
    }
    REQUIRE(process > 0);
    ::close(ends[1]);
    std::string line;
    char character = 0;
    while (::read(ends[0], &character, 1) == 1 && character != '\n') {
        line += character;
    }
    ::close(ends[0]);
    const std::string announced = "listening ";
    const bool is_announced = line.compare(0, announced.size(), announced) == 0;
    const auto address = kernel::socket_address{is_announced ? line.substr(announced.size()) : "127.0.0.1:1"};
    CHECK(is_announced);
    CHECK(platform::http_platform::create({address}).value()->tables().insert("t", "k", "v"));
    ::kill(process, SIGTERM);
    int status = 0;
    ::waitpid(process, &status, 0);
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
}

} // namespace
} // namespace wisterialane::stand_ins
