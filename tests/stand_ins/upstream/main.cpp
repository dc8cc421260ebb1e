#include "tests/stand_ins/upstream/upstream_stand_in.h"

#include <csignal>
#include <ctime>
#include <iostream>

#include <boost/program_options.hpp>

namespace {

namespace options = boost::program_options;
using wisterialane::kernel::socket_address;
using wisterialane::stand_ins::stand_in_settings;
using wisterialane::stand_ins::upstream_stand_in;

stand_in_settings read_settings(const options::variables_map& values)
{
    return {socket_address{values["address"].as<std::string>()}, values["slots"].as<unsigned>(),
            values["connections"].as<unsigned>(), std::chrono::milliseconds{values["service-time-ms"].as<unsigned>()},
            std::chrono::milliseconds{values["cold-start-ms"].as<unsigned>()}};
}

// Maintains the stand-in until SIGTERM or SIGINT, which are blocked in all threads.
void run_until_signal(upstream_stand_in& stand_in, const sigset_t& signals)
{
    const timespec interval{0, 5'000'000};
    while (sigtimedwait(&signals, nullptr, &interval) < 0) {
        stand_in.maintain();
    }
}

int run(int argument_count, char** arguments)
{
    options::options_description description{"upstream_stand_in"};
    description.add_options()                                                                         //
        ("address", options::value<std::string>()->default_value("127.0.0.1:0"), "listening address") //
        ("slots", options::value<unsigned>()->default_value(2), "requests worked on at once")         //
        ("connections", options::value<unsigned>()->default_value(300), "connections served at once") //
        ("service-time-ms", options::value<unsigned>()->default_value(1), "work per request")         //
        ("cold-start-ms", options::value<unsigned>()->default_value(0), "time of slower work at start");
    options::variables_map values;
    options::store(options::parse_command_line(argument_count, arguments, description), values);
    options::notify(values);

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    upstream_stand_in stand_in{read_settings(values)};
    const auto address = stand_in.start();
    if (!address) {
        std::cerr << address.error().name() << ": " << address.error().subject() << '\n';
        return 1;
    }
    std::cout << "listening " << address->value() << std::endl;
    run_until_signal(stand_in, signals);
    return 0;
}

} // namespace

int main(int argument_count, char** arguments)
{
    try {
        return run(argument_count, arguments);
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
