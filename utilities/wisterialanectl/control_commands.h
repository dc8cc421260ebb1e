#pragma once

#include "utilities/wisterialanectl/control_client.h"
#include "utilities/wisterialanectl/control_failure.h"
#include "utilities/wisterialanectl/control_settings.h"

#include <cstddef>
#include <functional>
#include <iosfwd>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace wisterialane::control {

/// The commands. Each prints its result to the stream.
class control_commands {
public:
    control_commands(const control_settings& settings, std::ostream& stream);

    /// Fails with `wrong_usage` for an unknown command or a wrong number of arguments.
    control_result<void> run();

private:
    using printer = std::function<void(std::ostream&, const nlohmann::json&)>;

    struct command {
        std::string_view name;
        std::size_t least_arguments;
        std::size_t most_arguments;
        control_result<void> (control_commands::*run)();
    };

    static const std::vector<command>& commands();

    control_result<void> propose();
    control_result<void> diff();
    control_result<void> check();
    control_result<void> review();
    control_result<void> publish();
    control_result<void> create_key();
    control_result<void> withdraw_key();
    control_result<void> list();
    control_result<void> show();
    control_result<void> history();
    control_result<void> version();
    control_result<void> status();

    /// Prints an answer as JSON, or for people with the printer.
    control_result<void> print(const control_result<nlohmann::json>& answer, const printer& print_table);
    control_result<void> finish_publish(const control_result<nlohmann::json>& answer);
    control_result<nlohmann::json> wait_until_accepted(std::uint64_t version);

    const control_settings& settings_;
    std::ostream& stream_;
    control_client client_;
};

} // namespace wisterialane::control
