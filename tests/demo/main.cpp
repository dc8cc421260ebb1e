// Starts a small fleet with stand-ins on this machine and shows what it holds, one line for each scenario. Exit code 0
// only when every line holds.

#include "tests/support/fleet.h"
#include "tests/support/scenarios.h"

#include <functional>
#include <iomanip>
#include <iostream>
#include <vector>

namespace wisterialane::test_support {
namespace {

struct demonstration {
    const char* title;
    std::function<scenario_result(fleet&)> run;
};

int show(fleet& running)
{
    const std::vector<demonstration> demonstrations{
        {"slow upstream avoided", avoid_slow_upstream},
        {"certificate runs once", run_certificate_once},
        {"photo bundle arrives whole", deliver_bundle},
        {"customer held to its rate", hold_customer_to_rate},
        {"key withdrawn while connected", withdraw_key_of_connected_caller},
        {"graceful stop cuts nothing", stop_host_under_load},
    };
    bool all_hold = true;
    for (const auto& item : demonstrations) {
        const auto result = item.run(running);
        all_hold = all_hold && result.holds;
        std::cout << (result.holds ? "holds  " : "FAILS  ") << std::left << std::setw(32) << item.title << result.seen
                  << std::endl;
    }
    return all_hold ? 0 : 1;
}

int run()
{
    fleet_options options;
    options.service_time = std::chrono::milliseconds{5};
    fleet running{options};
    if (!running.started()) {
        std::cout << "FAILS  the processes did not start" << std::endl;
        return 1;
    }
    running.control_upstream(0, {{"mode", "slow"}, {"factor", 20}});
    if (!running.publish_sample()) {
        std::cout << "FAILS  the configuration was not published" << std::endl;
        return 1;
    }
    std::cout << "3 hosts in 2 data centres, 4 upstreams, 1 platform; configuration published" << std::endl;
    return show(running);
}

} // namespace
} // namespace wisterialane::test_support

int main()
{
    return wisterialane::test_support::run();
}
