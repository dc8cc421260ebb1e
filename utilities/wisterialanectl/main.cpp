#include "utilities/wisterialanectl/control_commands.h"
#include "utilities/wisterialanectl/control_output.h"
#include "utilities/wisterialanectl/control_settings.h"
#include "utilities/wisterialanectl/request_explanation.h"

#include <iostream>
#include <string_view>

namespace {

using namespace wisterialane::control;

int report(const control_failure& failure, output_form output)
{
    if (output == output_form::json && !failure.answer.is_null()) {
        std::cout << failure.answer.dump(2) << '\n';
    }
    else {
        print_details(std::cout, failure);
    }
    std::cerr << "wisterialanectl: " << failure.number << ' ' << failure.name;
    if (!failure.subject.empty()) {
        std::cerr << ": " << failure.subject;
    }
    std::cerr << '\n';
    return static_cast<int>(failure.code);
}

} // namespace

int main(int argument_count, char** arguments)
{
    // Needs lines of hosts only, no connection to one.
    if (argument_count > 1 && std::string_view{arguments[1]} == "explain") {
        return run_explain_command(argument_count - 1, arguments + 1);
    }
    const auto settings = read_settings(argument_count, arguments);
    if (!settings) {
        return report(settings.error(), output_form::table);
    }
    if (settings->help) {
        print_help(std::cout);
        return 0;
    }
    const auto done = control_commands{*settings, std::cout}.run();
    return done ? 0 : report(done.error(), settings->output);
}
