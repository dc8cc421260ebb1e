#include "libraries/settings/setting_table.h"

#include <array>
#include <cctype>

namespace wisterialane::settings {
namespace {

constexpr std::string_view optional_list = "none";

constexpr std::array table{
    setting_description{"host-name", setting_form::name, "", "", 0, 0, "Name of this host."},
    setting_description{"data-centre", setting_form::name, "", "", 0, 0, "Data centre that this host stands in."},
    setting_description{"caller-address", setting_form::address, "ip:port", "", 0, 0,
                        "Address for callers (HTTP/1.1)."},
    setting_description{"operator-address", setting_form::address, "ip:port", "", 0, 0,
                        "Address for operators, the status page and metrics (HTTP/1.1)."},
    setting_description{"peer-address", setting_form::address, "ip:port", "", 0, 0, "Address for other hosts (gRPC)."},
    setting_description{"platform-address", setting_form::address, "ip:port", "", 0, 0,
                        "Address of the platform's services (HTTP/1.1)."},
    setting_description{"seed-peers", setting_form::address_list, "ip:port,...", optional_list, 0, 0,
                        "Peer addresses of hosts to start from when the platform does not answer."},
    setting_description{"fleet-secret", setting_form::secret, "", "", 16, 0,
                        "Secret that authenticates messages between hosts; better set by its environment variable."},
    setting_description{"operators", setting_form::operator_list, "name:sha256hex,...", optional_list, 0, 0,
                        "Operators and the SHA-256 digests of their tokens."},
    setting_description{"caller-threads", setting_form::number, "threads", "320", 4, 4096,
                        "Connections of callers served at once; each occupies a thread."},
    setting_description{"operator-threads", setting_form::number, "threads", "8", 2, 256,
                        "Connections of operators served at once."},
    setting_description{"caller-idle-timeout-ms", setting_form::number, "ms", "10000", 100, 300'000,
                        "Longest pause between two requests of a caller's connection."},
    setting_description{"caller-read-timeout-ms", setting_form::number, "ms", "10000", 100, 300'000,
                        "Longest silence of a caller inside a request."},
    setting_description{"upstream-idle-timeout-ms", setting_form::number, "ms", "2000", 0, 60'000,
                        "Idle connections to upstreams are closed after this time."},
    setting_description{"platform-timeout-ms", setting_form::number, "ms", "1000", 10, 60'000,
                        "Longest wait for one platform call."},
    setting_description{"address-keep-ms", setting_form::number, "ms", "10000", 100, 600'000,
                        "How long callers may keep an answer that tells them which addresses to use."},
    setting_description{"drain-ms", setting_form::number, "ms", "12000", 0, 900'000,
                        "How long a stopping host still serves; at least address-keep-ms plus the longest request."},
    setting_description{
        "start-timeout-ms", setting_form::number, "ms", "10000", 100, 600'000,
        "How long a starting host waits for an answer of the platform or of a peer before it gives up."},
};

std::string range_of(const setting_description& setting)
{
    if (setting.form == setting_form::number) {
        return std::to_string(setting.minimum) + " to " + std::to_string(setting.maximum);
    }
    return "";
}

} // namespace

std::span<const setting_description> host_setting_table()
{
    return table;
}

std::string environment_name(std::string_view setting)
{
    std::string name = "WISTERIALANE_";
    for (const char character : setting) {
        name.push_back(character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character))));
    }
    return name;
}

std::string render_settings_page()
{
    std::string page =
        "# Settings of `wisterialane`\n\n"
        "Made by `wisterialane --print-settings-page`; a test keeps it in step with the code. A flag goes "
        "before its environment variable.\n\n"
        "| flag | environment variable | unit | default | range | meaning |\n"
        "| --- | --- | --- | --- | --- | --- |\n";
    for (const auto& setting : table) {
        const std::string default_text =
            setting.default_value.empty() ? "required" : std::string{setting.default_value};
        page += "| `--" + std::string{setting.name} + "` | `" + environment_name(setting.name) + "` | " +
                std::string{setting.unit} + " | " + default_text + " | " + range_of(setting) + " | " +
                std::string{setting.help} + " |\n";
    }
    return page;
}

} // namespace wisterialane::settings
