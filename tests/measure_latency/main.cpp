// Measures the latency that one host adds: the same lookups straight to an upstream and through a host, taken in turn
// in one run so that a busy machine touches both alike. Prints lines `measure NAME VALUE UNIT`.

#include "tests/support/fleet.h"
#include "tests/support/sample_configuration.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

namespace wisterialane::test_support {
namespace {

using test_clock = std::chrono::steady_clock;

constexpr unsigned requests = 1500;
// 100 requests a second each way.
constexpr std::chrono::milliseconds interval{10};

class timed_caller {
public:
    timed_caller(const kernel::socket_address& address, const std::string& key) : head_{"GET", "/lookups/1", {}}
    {
        auto connected = http::client_connection::connect(address);
        if (connected) {
            connection_ = std::move(*connected);
        }
        if (!key.empty()) {
            head_.headers.add("Authorization", "Bearer " + key);
        }
    }

    bool run()
    {
        const auto start = test_clock::now();
        const auto answer = http::exchange(*connection_, head_, "", std::chrono::seconds{5});
        milliseconds_.push_back(std::chrono::duration<double, std::milli>(test_clock::now() - start).count());
        return answer && answer->head.status == 200;
    }

    [[nodiscard]] double percentile(double share)
    {
        std::sort(milliseconds_.begin(), milliseconds_.end());
        return milliseconds_[static_cast<std::size_t>(share * static_cast<double>(milliseconds_.size() - 1))];
    }

private:
    http::request_head head_;
    std::unique_ptr<http::client_connection> connection_;
    std::vector<double> milliseconds_;
};

double processor_milliseconds(pid_t process)
{
    std::ifstream file{"/proc/" + std::to_string(process) + "/stat"};
    std::string text{std::istreambuf_iterator<char>{file}, {}};
    std::istringstream fields{text.substr(text.rfind(')') + 2)};
    const std::vector<std::string> values{std::istream_iterator<std::string>{fields}, {}};
    // User and system time are the 14th and 15th fields of the file (proc(5)).
    const double ticks = std::stod(values[11]) + std::stod(values[12]);
    return ticks * 1000 / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

void print(const std::string& name, double value, const std::string& unit)
{
    std::cout << "measure " << name << ' ' << value << ' ' << unit << std::endl;
}

int run()
{
    fleet running{{}};
    if (!running.started() || !running.publish_sample()) {
        return 1;
    }
    timed_caller direct{running.upstream_address(0), ""};
    timed_caller through{running.caller_address(0), depot_key()};
    const auto idle_start = processor_milliseconds(running.host(1).id());
    const auto busy_start = processor_milliseconds(running.host(0).id());
    unsigned failures = 0;
    for (unsigned index = 0; index < requests; ++index) {
        const auto next = test_clock::now() + interval;
        failures += direct.run() ? 0 : 1;
        failures += through.run() ? 0 : 1;
        std::this_thread::sleep_until(next);
    }
    // An idle host of the same fleet has the same control work.
    const auto busy = processor_milliseconds(running.host(0).id()) - busy_start;
    const auto idle = processor_milliseconds(running.host(1).id()) - idle_start;
    for (const double share : {0.5, 0.99}) {
        const std::string name = "latency_p" + std::to_string(static_cast<int>(share * 100));
        print(name + "_direct", direct.percentile(share), "ms");
        print(name + "_through_host", through.percentile(share), "ms");
        print(name + "_added", through.percentile(share) - direct.percentile(share), "ms");
    }
    print("processor_time_per_request", (busy - idle) / requests, "ms");
    print("failed_requests", failures, "requests");
    return failures == 0 ? 0 : 1;
}

} // namespace
} // namespace wisterialane::test_support

int main()
{
    return wisterialane::test_support::run();
}
