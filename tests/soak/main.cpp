#include "tests/soak/soak_run.h"

#include <csignal>
#include <iostream>
#include <string>

#include <boost/program_options.hpp>

namespace {

namespace options = boost::program_options;

/// Part of the requests after the last fault that must be served.
constexpr double calm_bound = 0.95;

} // namespace

int main(int count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    unsigned first = 1;
    unsigned seeds = 1;
    bool trace = false;
    options::options_description description{"edge_soak: faults from seeds around processes of wisterialane edge"};
    auto add = description.add_options();
    add("help", "print this text");
    add("first-seed", options::value(&first)->default_value(1), "the first seed");
    add("seeds", options::value(&seeds)->default_value(1), "how many seeds to run, one after the other");
    add("trace", options::bool_switch(&trace), "print each fault");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(count, arguments, description), values);
        options::notify(values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
    }
    catch (const options::error& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
    int failed = 0;
    for (unsigned seed = first; seed < first + seeds; ++seed) {
        wisterialane::soak::soak_options use;
        use.seed = seed;
        use.trace = trace ? &std::cout : nullptr;
        auto result = wisterialane::soak::run_soak(use);
        if (static_cast<double>(result.calm_served) < calm_bound * static_cast<double>(result.calm_requests)) {
            result.violations.push_back("RECOVER");
        }
        std::cout << "seed " << seed << ": " << result.requests << " requests, " << result.served << " served; calm "
                  << result.calm_served << " of " << result.calm_requests << "; broken " << result.violations.size()
                  << std::endl;
        for (const auto& line : result.violations) {
            std::cout << "  " << line << "\n";
        }
        failed += result.violations.empty() ? 0 : 1;
    }
    return failed == 0 ? 0 : 1;
}
