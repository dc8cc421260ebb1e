#include "libraries/settings/host_settings.h"

#include "libraries/http/socket_address.h"
#include "libraries/settings/setting_table.h"
#include "libraries/settings/settings_events.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <sstream>
#include <string_view>

#include <boost/program_options.hpp>

namespace wisterialane::settings {
namespace {

namespace options = boost::program_options;

constexpr std::size_t maximum_name_characters = 63;
constexpr std::size_t digest_digits = 64;
constexpr std::string_view empty_list = "none";

using value_map = std::map<std::string, std::string, std::less<>>;
using fault_list = std::vector<kernel::failure>;

options::options_description describe_options()
{
    options::options_description description{"Options of wisterialane"};
    auto add = description.add_options();
    add("help", "Prints this text.");
    add("check-settings", "Checks the settings and exits.");
    add("print-settings-page", "Prints docs/SETTINGS.md.");
    for (const auto& setting : host_setting_table()) {
        std::string help{setting.help};
        if (!setting.unit.empty()) {
            help += " [" + std::string{setting.unit} + "]";
        }
        if (!setting.default_value.empty()) {
            help += " Default: " + std::string{setting.default_value} + ".";
        }
        add(std::string{setting.name}.c_str(), options::value<std::string>(), help.c_str());
    }
    return description;
}

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> items;
    if (text == empty_list) {
        return items;
    }
    std::istringstream stream{text};
    for (std::string item; std::getline(stream, item, ',');) {
        items.push_back(item);
    }
    return items;
}

bool is_name(const std::string& text)
{
    const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !text.empty() && text.size() <= maximum_name_characters && text[0] != '-' &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_address(const std::string& text)
{
    return http::parse_socket_address(kernel::socket_address{text}).has_value();
}

bool is_operator(const std::string& text)
{
    const auto colon = text.find(':');
    if (colon == std::string::npos || !is_name(text.substr(0, colon))) {
        return false;
    }
    const auto digest = text.substr(colon + 1);
    return digest.size() == digest_digits && digest.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::optional<std::int64_t> parse_number(const std::string& text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::optional<settings_event> check_value(const setting_description& setting, const std::string& text)
{
    const auto valid_if = [](bool valid) {
        return valid ? std::nullopt : std::optional{settings_event::invalid_value};
    };
    const auto items = split_list(text);
    switch (setting.form) {
    case setting_form::name:
        return valid_if(is_name(text));
    case setting_form::address:
        return valid_if(is_address(text));
    case setting_form::address_list:
        return valid_if(std::all_of(items.begin(), items.end(), is_address));
    case setting_form::operator_list:
        return valid_if(std::all_of(items.begin(), items.end(), is_operator));
    case setting_form::secret:
        return text.size() < static_cast<std::size_t>(setting.minimum)
                   ? std::optional{settings_event::value_out_of_range}
                   : std::nullopt;
    case setting_form::number:
        break;
    }
    const auto number = parse_number(text);
    if (!number) {
        return settings_event::invalid_value;
    }
    const bool in_range = *number >= setting.minimum && *number <= setting.maximum;
    return in_range ? std::nullopt : std::optional{settings_event::value_out_of_range};
}

// The value is part of the message only where it cannot be a secret.
std::string fault_subject(const setting_description& setting, const std::string& text)
{
    std::string subject = "--" + std::string{setting.name};
    if (setting.form != setting_form::secret && setting.form != setting_form::operator_list) {
        subject += "=" + text;
    }
    if (setting.form == setting_form::number) {
        subject += " (" + std::to_string(setting.minimum) + " to " + std::to_string(setting.maximum) + " " +
                   std::string{setting.unit} + ")";
    }
    return subject;
}

value_map collect_values(const options::variables_map& flags, const environment& lookup, fault_list& faults)
{
    value_map values;
    for (const auto& setting : host_setting_table()) {
        const std::string name{setting.name};
        std::string text{setting.default_value};
        if (flags.count(name) > 0) {
            text = flags[name].as<std::string>();
        }
        else if (auto from_environment = lookup(environment_name(name))) {
            text = *from_environment;
        }
        if (text.empty()) {
            faults.push_back({settings_event::missing_value, "--" + name + " or " + environment_name(name)});
            continue;
        }
        if (const auto fault = check_value(setting, text)) {
            faults.push_back({*fault, fault_subject(setting, text)});
            continue;
        }
        values[name] = text;
    }
    return values;
}

std::vector<operator_credential> parse_operators(const std::string& text)
{
    std::vector<operator_credential> operators;
    for (const auto& item : split_list(text)) {
        const auto colon = item.find(':');
        operators.push_back({kernel::operator_name{item.substr(0, colon)}, item.substr(colon + 1)});
    }
    return operators;
}

std::vector<kernel::socket_address> parse_addresses(const std::string& text)
{
    std::vector<kernel::socket_address> addresses;
    for (const auto& item : split_list(text)) {
        addresses.emplace_back(item);
    }
    return addresses;
}

host_settings build_settings(const value_map& values)
{
    const auto text = [&values](const char* name) { return values.find(name)->second; };
    const auto number = [&text](const char* name) { return parse_number(text(name)).value_or(0); };
    const auto milliseconds = [&number](const char* name) { return std::chrono::milliseconds{number(name)}; };
    host_settings built;
    built.host = kernel::host_name{text("host-name")};
    built.data_centre = kernel::data_centre_name{text("data-centre")};
    built.caller_address = kernel::socket_address{text("caller-address")};
    built.operator_address = kernel::socket_address{text("operator-address")};
    built.peer_address = kernel::socket_address{text("peer-address")};
    built.platform_address = kernel::socket_address{text("platform-address")};
    built.seed_peers = parse_addresses(text("seed-peers"));
    built.fleet_secret = text("fleet-secret");
    built.operators = parse_operators(text("operators"));
    built.caller_threads = static_cast<unsigned>(number("caller-threads"));
    built.operator_threads = static_cast<unsigned>(number("operator-threads"));
    built.caller_idle_timeout = milliseconds("caller-idle-timeout-ms");
    built.caller_read_timeout = milliseconds("caller-read-timeout-ms");
    built.upstream_idle_timeout = milliseconds("upstream-idle-timeout-ms");
    built.platform_timeout = milliseconds("platform-timeout-ms");
    built.address_keep = milliseconds("address-keep-ms");
    built.drain = milliseconds("drain-ms");
    built.start_timeout = milliseconds("start-timeout-ms");
    return built;
}

command_line_action requested_action(const options::variables_map& flags)
{
    if (flags.count("help") > 0) {
        return command_line_action::print_help;
    }
    if (flags.count("print-settings-page") > 0) {
        return command_line_action::print_settings_page;
    }
    return flags.count("check-settings") > 0 ? command_line_action::check_settings : command_line_action::run;
}

// Boost.Program_options reports only the first fault of a command line, so unknown flags are collected by hand.
options::variables_map parse_flags(const std::vector<std::string>& arguments, fault_list& faults)
{
    options::variables_map flags;
    try {
        const auto description = describe_options();
        const auto parsed =
            options::command_line_parser{arguments}
                .options(description)
                .style(options::command_line_style::unix_style & ~options::command_line_style::allow_guessing)
                .allow_unregistered()
                .run();
        for (const auto& option : parsed.options) {
            if (option.unregistered || option.position_key != -1) {
                faults.push_back({settings_event::unknown_flag, option.original_tokens.front()});
            }
        }
        options::store(parsed, flags);
    }
    catch (const options::error& error) {
        faults.push_back({settings_event::malformed_command_line, error.what()});
    }
    return flags;
}

} // namespace

tl::expected<command_line, std::vector<kernel::failure>> read_command_line(const std::vector<std::string>& arguments,
                                                                           const environment& lookup)
{
    fault_list faults;
    const auto flags = parse_flags(arguments, faults);
    command_line result;
    result.action = requested_action(flags);
    const bool needs_settings =
        result.action == command_line_action::run || result.action == command_line_action::check_settings;
    if (needs_settings) {
        const auto values = collect_values(flags, lookup, faults);
        if (faults.empty()) {
            result.settings = build_settings(values);
        }
    }
    if (!faults.empty()) {
        return tl::unexpected{std::move(faults)};
    }
    return result;
}

std::string render_help()
{
    std::ostringstream text;
    text << "Usage: wisterialane [options]\n\n"
         << describe_options() << "\nEach option can also be set by its environment variable, for example "
         << environment_name("host-name") << ".\n"
         << "Exit codes: 0 stopped as asked, 2 faulty settings, 3 an address is in use, 4 neither platform nor peers "
            "answer, 5 other failure at start.\n";
    return text.str();
}

} // namespace wisterialane::settings
