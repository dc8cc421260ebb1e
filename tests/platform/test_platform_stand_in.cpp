#include "libraries/platform/http_platform.h"

#include <csignal>
#include <cstdio>
#include <string>

#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

namespace wisterialane::stand_ins {
namespace {

/// Runs the stand-in and reads its first line of output.
class stand_in_process {
public:
    stand_in_process()
    {
        int ends[2] = {};
        REQUIRE(::pipe(ends) == 0);
        process_ = ::fork();
        if (process_ == 0) {
            ::dup2(ends[1], STDOUT_FILENO);
            ::execl(WL_BINARY_DIRECTORY "/platform_stand_in", "platform_stand_in", "--address", "127.0.0.1:0", nullptr);
            ::_exit(127);
        }
        ::close(ends[1]);
        char character = 0;
        while (::read(ends[0], &character, 1) == 1 && character != '\n') {
            first_line_ += character;
        }
        ::close(ends[0]);
    }

    stand_in_process(const stand_in_process&) = delete;
    stand_in_process& operator=(const stand_in_process&) = delete;

    ~stand_in_process()
    {
        if (process_ > 0) {
            stop();
        }
    }

    [[nodiscard]] const std::string& first_line() const { return first_line_; }

    int stop()
    {
        int status = 0;
        ::kill(process_, SIGTERM);
        ::waitpid(process_, &status, 0);
        process_ = -1;
        return status;
    }

private:
    pid_t process_ = -1;
    std::string first_line_;
};

TEST_CASE("platform_stand_in: free port: prints its address, serves, and ends with 0 on SIGTERM")
{
    stand_in_process process;
    const std::string announced = "listening ";
    REQUIRE(process.first_line().compare(0, announced.size(), announced) == 0);
    const auto created =
        platform::http_platform::create({kernel::socket_address{process.first_line().substr(announced.size())}});
    REQUIRE(created);
    CHECK((*created)->tables().insert("t", "k", "v"));
    const int status = process.stop();
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
}

} // namespace
} // namespace wisterialane::stand_ins
