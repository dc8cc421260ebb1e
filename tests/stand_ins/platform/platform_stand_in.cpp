#include "kernel/clock.h"
#include "tests/stand_ins/platform/platform_server.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <string>

#include <boost/program_options.hpp>

namespace {

using namespace wisterialane;

int run(const std::string& address, const sigset_t& stop_signals)
{
    const auto server = stand_ins::platform_server::create(kernel::socket_address{address}, kernel::boot_clock::now);
    if (!server) {
        std::cerr << server.error().name() << ' ' << server.error().subject() << '\n';
        return 1;
    }
    std::cout << "listening " << (*server)->address().value() << std::endl;
    int received = 0;
    sigwait(&stop_signals, &received);
    return 0;
}

} // namespace

int main(int argument_count, char** arguments)
{
    namespace options = boost::program_options;
    // Blocked before the first thread starts, so that only sigwait receives them.
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);

    std::string address;
    options::options_description description{"platform_stand_in: the platform's services, for tests"};
    description.add_options()("help", "show this text")("address",
                                                        options::value(&address)->default_value("127.0.0.1:0"),
                                                        "ip:port to listen on; port 0 is a free one");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argument_count, arguments, description), values);
        options::notify(values);
        if (values.count("help") != 0) {
            std::cout << description;
            return 0;
        }
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    return run(address, stop_signals);
}
