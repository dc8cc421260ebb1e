#include "tests/soak/soak_run.h"

#include <csignal>
#include <iostream>
#include <string>

#include <boost/program_options.hpp>

namespace {

namespace program_options = boost::program_options;

/// Fraction of the requests sent after the recovery from all faults that must be served.
constexpr double minimum_served_fraction = 0.95;

} // namespace

int main(int count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    unsigned first_seed = 1;
    unsigned seed_count = 1;
    std::string second_program;
    bool trace = false;
    program_options::options_description description{
        "edge_soak: runs processes of wisterialane edge with random faults drawn from seeds"};
    auto add = description.add_options();
    add("help", "print this text");
    add("first-seed", program_options::value(&first_seed)->default_value(1), "the first seed");
    add("seeds", program_options::value(&seed_count)->default_value(1), "number of seeds to run, one after the other");
    add("second-program", program_options::value(&second_program)->default_value("wisterialane"),
        "program that half of the hosts run, such as an older build, by its name in the folder of wisterialane");
    add("trace", program_options::bool_switch(&trace), "print each fault");
    try {
        program_options::variables_map values;
        program_options::store(program_options::parse_command_line(count, arguments, description), values);
        program_options::notify(values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
    }
    catch (const program_options::error& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
    int failed_seeds = 0;
    for (unsigned seed = first_seed; seed < first_seed + seed_count; ++seed) {
        wisterialane::soak::soak_options options;
        options.seed = seed;
        options.second_program = second_program;
        options.trace = trace ? &std::cout : nullptr;
        auto result = wisterialane::soak::run_soak(options);
        if (static_cast<double>(result.served_after_recovery) <
            minimum_served_fraction * static_cast<double>(result.requests_after_recovery)) {
            result.violations.push_back("RECOVER");
        }
        std::cout << "seed " << seed << ": " << result.requests << " requests, " << result.served
                  << " served; after recovery " << result.served_after_recovery << " of "
                  << result.requests_after_recovery << "; violations " << result.violations.size() << std::endl;
        for (const auto& violation : result.violations) {
            std::cout << "  " << violation << "\n";
        }
        failed_seeds += result.violations.empty() ? 0 : 1;
    }
    return failed_seeds == 0 ? 0 : 1;
}
