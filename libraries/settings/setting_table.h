#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace wisterialane::settings {

/// How the text of a setting is checked.
enum class setting_form {
    /// `[a-z0-9][a-z0-9-]{0,62}`
    name,
    /// `ip:port`
    address,
    /// Comma-separated `ip:port`; may be empty.
    address_list,
    /// Comma-separated `name:sha256hex`; may be empty.
    operator_list,
    /// Whole number within the range.
    number,
    /// At least 16 characters; never printed.
    secret,
};

/// One setting of the `wisterialane` process. The flag is `--<name>`; the environment variable is
/// `WISTERIALANE_<NAME>` with underscores. A flag goes before the environment variable.
struct setting_description {
    std::string_view name;
    setting_form form;
    std::string_view unit;
    /// Empty: the setting is required.
    std::string_view default_value;
    std::int64_t minimum;
    std::int64_t maximum;
    std::string_view help;
};

/// The one table from which the command line, the environment names, the checks and docs/SETTINGS.md are made.
[[nodiscard]] std::span<const setting_description> host_setting_table();

[[nodiscard]] std::string environment_name(std::string_view setting);

/// docs/SETTINGS.md as text.
[[nodiscard]] std::string render_settings_page();

} // namespace wisterialane::settings
