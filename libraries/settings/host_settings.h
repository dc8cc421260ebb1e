#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace wisterialane::settings {

struct operator_credential {
    kernel::operator_name name;
    /// SHA-256 of the operator's token, 64 lower-case hex digits.
    std::string token_digest;
};

/// The checked settings of the `wisterialane` process.
struct host_settings {
    kernel::host_name host;
    kernel::data_centre_name data_centre;
    kernel::socket_address caller_address;
    kernel::socket_address operator_address;
    kernel::socket_address peer_address;
    kernel::socket_address platform_address;
    std::vector<kernel::socket_address> seed_peers;
    std::string fleet_secret;
    std::vector<operator_credential> operators;
    unsigned caller_threads = 0;
    unsigned operator_threads = 0;
    std::chrono::milliseconds caller_idle_timeout{};
    std::chrono::milliseconds caller_read_timeout{};
    std::chrono::milliseconds upstream_idle_timeout{};
    std::chrono::milliseconds platform_timeout{};
    std::chrono::milliseconds address_keep{};
    std::chrono::milliseconds drain{};
    std::chrono::milliseconds start_timeout{};
};

/// What the command line asks for besides settings.
enum class command_line_action { run, print_help, check_settings, print_settings_page };

struct command_line {
    command_line_action action = command_line_action::run;
    host_settings settings;
};

/// Looks up an environment variable.
using environment = std::function<std::optional<std::string>(const std::string& name)>;

/// Reads flags and environment and checks every value. On the error side are all faults, not only the first; the
/// subject of each names the setting. Secrets never appear in a fault.
tl::expected<command_line, std::vector<kernel::failure>> read_command_line(const std::vector<std::string>& arguments,
                                                                           const environment& lookup);

/// The text of `--help`.
[[nodiscard]] std::string render_help();

} // namespace wisterialane::settings
