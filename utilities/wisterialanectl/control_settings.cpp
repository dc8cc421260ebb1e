#include "utilities/wisterialanectl/control_settings.h"

#include <cmath>
#include <ostream>

#include <boost/program_options.hpp>

namespace wisterialane::control {
namespace {

namespace options = boost::program_options;

constexpr double longest_wait_seconds = 3600;

constexpr const char* usage = R"(usage: wisterialanectl [flags] COMMAND [arguments]

Commands:
  propose FILE                  store the changes of a file as a proposal
  diff FILE|ID                  show the changed objects before and after
  check FILE                    show all faults that the changes would cause
  review ID                     approve another operator's proposal
  publish ID                    publish a reviewed proposal
  create-key CUSTOMER KEYNAME   make a key, print its secret once and make the proposal that adds it
  withdraw-key NAME             withdraw a key at once
  list                          show proposals
  show [ID]                     show a proposal, or the configuration in force
  history                       show the newest versions
  version N                     show how many hosts hold a version
  status                        show the state of the host that is asked
  explain REQUEST [--file F] [--json]
                                what the log lines of hosts, on standard input or in a file, say about a request

A file holds {"changes": [...], "base_version": N}; the base version may be left out. A change is
{"put": {"kind": ..., "name": ..., ...}} or {"delete": {"kind": ..., "name": ...}}.

)";

constexpr const char* exit_codes = R"(
Environment, for flags that are not given: WISTERIALANE_OPERATOR_ADDRESS, WISTERIALANE_OPERATOR_TOKEN,
WISTERIALANE_OUTPUT, WISTERIALANE_TIMEOUT_SECONDS.

Exit codes:
  0  success
  1  unexpected failure
  2  wrong usage, or a file that cannot be read or written
  3  host or platform unreachable; nothing was published
  4  refused: not authenticated, review missing, or reviewer is the author
  5  faults in the proposal or in the request
  6  conflict with another version, or already published
  7  published, but not accepted in time
  8  no such proposal, key or version
  9  outcome unknown; publishing again is safe, and tells if it was published
)";

options::options_description make_flags()
{
    options::options_description flags{"Flags"};
    auto add = flags.add_options();
    add("help,h", "show this text");
    add("operator-address", options::value<std::string>()->default_value("127.0.0.1:8001"),
        "ip:port of any host's operator address");
    add("operator-token", options::value<std::string>()->default_value(""),
        "bearer token; prefer the environment, because other users can see command lines");
    add("output", options::value<std::string>()->default_value("table"), "table or json");
    add("timeout-seconds", options::value<double>()->default_value(30), "longest wait for one answer");
    add("wait", options::value<double>(), "publish, withdraw-key: seconds to wait until the version is accepted");
    add("file", options::value<std::string>()->default_value(""), "create-key: where to write the proposal");
    add("limit", options::value<unsigned>(), "history, list: number of lines");
    add("after", options::value<std::string>()->default_value(""), "list: show proposals after this id");
    return flags;
}

std::string flag_of_variable(const std::string& variable)
{
    if (variable == "WISTERIALANE_OPERATOR_ADDRESS") {
        return "operator-address";
    }
    if (variable == "WISTERIALANE_OPERATOR_TOKEN") {
        return "operator-token";
    }
    if (variable == "WISTERIALANE_OUTPUT") {
        return "output";
    }
    return variable == "WISTERIALANE_TIMEOUT_SECONDS" ? "timeout-seconds" : "";
}

control_result<std::chrono::milliseconds> to_milliseconds(double seconds, const char* flag)
{
    if (!std::isfinite(seconds) || seconds < 0 || seconds > longest_wait_seconds) {
        return fail(exit_code::usage, control_event::wrong_usage, std::string{"--"} + flag);
    }
    return std::chrono::milliseconds{static_cast<std::int64_t>(seconds * 1000)};
}

control_result<control_settings> convert(const options::variables_map& values)
{
    control_settings settings;
    settings.help = values.count("help") > 0;
    settings.operator_address = kernel::socket_address{values["operator-address"].as<std::string>()};
    settings.token = values["operator-token"].as<std::string>();
    settings.proposal_file = values["file"].as<std::string>();
    settings.after = values["after"].as<std::string>();
    const auto output = values["output"].as<std::string>();
    if (output != "table" && output != "json") {
        return fail(exit_code::usage, control_event::wrong_usage, "--output");
    }
    settings.output = output == "json" ? output_form::json : output_form::table;
    const auto timeout = to_milliseconds(values["timeout-seconds"].as<double>(), "timeout-seconds");
    if (!timeout) {
        return tl::unexpected{timeout.error()};
    }
    settings.timeout = *timeout;
    if (values.count("wait") > 0) {
        const auto wait = to_milliseconds(values["wait"].as<double>(), "wait");
        if (!wait) {
            return tl::unexpected{wait.error()};
        }
        settings.wait = *wait;
    }
    if (values.count("limit") > 0) {
        settings.limit = values["limit"].as<unsigned>();
    }
    if (values.count("command") > 0) {
        settings.command = values["command"].as<std::string>();
    }
    if (values.count("argument") > 0) {
        settings.arguments = values["argument"].as<std::vector<std::string>>();
    }
    return settings;
}

} // namespace

control_result<control_settings> read_settings(int argument_count, const char* const* arguments)
{
    auto all = make_flags();
    all.add_options()("command", options::value<std::string>())("argument", options::value<std::vector<std::string>>());
    options::positional_options_description positions;
    positions.add("command", 1).add("argument", -1);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(argument_count, arguments).options(all).positional(positions).run(),
                       values);
        options::store(options::parse_environment(make_flags(), flag_of_variable), values);
        options::notify(values);
    }
    catch (const options::error& error) {
        return fail(exit_code::usage, control_event::wrong_usage, error.what());
    }
    return convert(values);
}

void print_help(std::ostream& stream)
{
    stream << usage << make_flags() << exit_codes;
}

} // namespace wisterialane::control
