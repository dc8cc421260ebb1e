#include "kernel/decision_log.h"

#include "kernel/kernel_events.h"

#include <array>
#include <string>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

namespace wisterialane::kernel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point test_start{std::chrono::hours{1}};

/// A log whose output is a pipe.
struct log_fixture {
    std::array<int, 2> ends{};
    time_point now = test_start;

    log_fixture()
    {
        REQUIRE(::pipe(ends.data()) == 0);
        REQUIRE(::fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
    }

    ~log_fixture()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    log_fixture(const log_fixture&) = delete;
    log_fixture& operator=(const log_fixture&) = delete;

    [[nodiscard]] std::string read_all() const
    {
        std::string text;
        std::array<char, 4096> buffer{};
        for (auto size = ::read(ends[0], buffer.data(), buffer.size()); size > 0;
             size = ::read(ends[0], buffer.data(), buffer.size())) {
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return text;
    }

    static std::size_t count(const std::string& text, const std::string& part)
    {
        std::size_t found = 0;
        for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
            ++found;
        }
        return found;
    }
};

} // namespace

// Guards against a process that stands still because nobody reads its log. A write that waits would never return here.
TEST_CASE_FIXTURE(log_fixture, "decision_log: nobody reads the output: goes on, and counts the lines it leaves out")
{
    decision_log log{{ends[1], 1e6, 1e6}};
    const std::string text(500, 'x');
    constexpr int lines = 5000;
    for (int line = 0; line < lines; ++line) {
        now += milliseconds{1};
        log.write(now, line_priority::important, kernel_event::lines_left_out, {{"text", text}});
        log.flush(now);
    }
    CHECK(log.dropped_lines() > 0);
    const auto written = count(read_all(), text);
    CHECK(written > 0);
    CHECK(written + log.dropped_lines() <= lines);
    // The reader comes back.
    now += seconds{60};
    log.flush(now);
    static_cast<void>(read_all());
    log.flush(now);
    CHECK(count(read_all(), "count=") == 1);
}

// Guards against a volume that rises with the load, and against failures that are displaced by successes.
TEST_CASE_FIXTURE(log_fixture, "decision_log: more lines than its rates: keeps to them, important lines have their own")
{
    decision_log log{{ends[1], 20, 100}};
    for (int tick = 0; tick < 3000; ++tick) {
        now += milliseconds{1};
        for (int repeat = 0; repeat < 3; ++repeat) {
            log.write(now, line_priority::routine, kernel_event::lines_left_out, {{"kind", "success"}});
        }
        if (tick % 20 == 0) {
            log.write(now, line_priority::important, kernel_event::lines_left_out, {{"kind", "failure"}});
        }
        log.flush(now);
    }
    const auto text = read_all();
    // Two seconds' worth may come at once.
    CHECK(count(text, "kind=success") <= (3 + 2) * 20);
    CHECK(count(text, "kind=failure") == 150);
}

} // namespace wisterialane::kernel
