// The program in builds for self-managed fleets; its `edge` command runs a host on a platform.

#include "kernel/event_log.h"
#include "kernel/kernel_events.h"
#include "libraries/http/http_events.h"
#include "libraries/peers/peers_events.h"
#include "libraries/settings/host_settings.h"
#include "libraries/settings/setting_table.h"
#include "utilities/wisterialane/edge_command.h"
#include "utilities/wisterialane/host_process.h"
#include "utilities/wisterialane/stop_signal.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace wisterialane {
namespace {

enum class exit_code { success = 0, invalid_settings = 2, address_in_use = 3, no_configuration_source = 4, failed = 5 };

std::optional<std::string> read_environment(const std::string& name)
{
    const char* value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>{value};
}

void report_error(const kernel::failure& error)
{
    std::cerr << "wisterialane: error " << error.number() << " " << error.name() << ": " << error.subject() << "\n";
}

exit_code report_start_failure(const kernel::failure& error)
{
    report_error(error);
    const bool in_use = error.is(http::http_event::address_in_use) || error.is(peers::peers_event::listen_failed);
    return in_use ? exit_code::address_in_use : exit_code::failed;
}

exit_code run(const settings::host_settings& settings, const stop_signal& signal)
{
    auto host = host_process::create(settings);
    if (!host) {
        return report_start_failure(host.error());
    }
    if (const auto started = (*host)->start(); !started) {
        return report_start_failure(started.error());
    }
    if (!(*host)->wait_for_configuration([&signal] { return signal.pending(); })) {
        report_error({kernel::kernel_event::no_configuration_source, settings.platform_address.value()});
        (*host)->stop();
        return exit_code::no_configuration_source;
    }
    kernel::log_event(kernel::severity::information, kernel::kernel_event::process_started,
                      {{"host", settings.host.value()}, {"data_centre", settings.data_centre.value()}});
    std::cout << "listening " << settings.caller_address.value() << std::endl;
    signal.wait();
    kernel::log_event(kernel::severity::information, kernel::kernel_event::process_stopping);
    (*host)->drain_and_stop();
    kernel::log_event(kernel::severity::information, kernel::kernel_event::process_stopped);
    return exit_code::success;
}

exit_code start(const std::vector<std::string>& arguments, const stop_signal& signal)
{
    const auto command_line = settings::read_command_line(arguments, read_environment);
    if (!command_line) {
        for (const auto& error : command_line.error()) {
            report_error(error);
        }
        return exit_code::invalid_settings;
    }
    switch (command_line->action) {
    case settings::command_line_action::print_help:
        std::cout << settings::render_help();
        break;
    case settings::command_line_action::print_settings_page:
        std::cout << settings::render_settings_page();
        break;
    case settings::command_line_action::check_settings:
        std::cout << "settings are valid\n";
        break;
    case settings::command_line_action::run:
        return run(command_line->settings, signal);
    }
    return exit_code::success;
}

} // namespace
} // namespace wisterialane

int main(int argument_count, char** arguments)
{
    if (argument_count > 1 && std::string{arguments[1]} == "edge") {
        return wisterialane::run_edge_command({arguments + 2, arguments + argument_count});
    }
    const wisterialane::stop_signal signal;
    std::signal(SIGPIPE, SIG_IGN);
    wisterialane::kernel::initialize_event_log(arguments[0]);
    return static_cast<int>(wisterialane::start({arguments + 1, arguments + argument_count}, signal));
}
