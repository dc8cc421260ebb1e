#include "utilities/wisterialanectl/control_commands.h"

#include "kernel/clock.h"
#include "libraries/configuration/digest.h"
#include "libraries/configuration/json_codec.h"
#include "libraries/configuration/validation.h"
#include "utilities/wisterialanectl/control_output.h"
#include "utilities/wisterialanectl/key_secret.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <ostream>
#include <string>
#include <thread>
#include <utility>

namespace wisterialane::control {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds acceptance_poll_interval{200};

control_result<std::string> read_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    std::string text{std::istreambuf_iterator<char>{file}, {}};
    if (!file) {
        return fail(exit_code::usage, control_event::file_unreadable, path);
    }
    return text;
}

/// Names and ids become part of a path, so any other text must not get there.
control_result<std::string> path_segment(const std::string& text)
{
    if (!configuration::is_name(text)) {
        return fail(exit_code::usage, control_event::wrong_usage, text);
    }
    return text;
}

} // namespace

control_commands::control_commands(const control_settings& settings, std::ostream& stream)
    : settings_{settings}, stream_{stream}, client_{settings}
{}

const std::vector<control_commands::command>& control_commands::commands()
{
    static const std::vector<command> all{
        {"propose", 1, 1, &control_commands::propose},
        {"diff", 1, 1, &control_commands::diff},
        {"check", 1, 1, &control_commands::check},
        {"review", 1, 1, &control_commands::review},
        {"publish", 1, 1, &control_commands::publish},
        {"create-key", 2, 2, &control_commands::create_key},
        {"withdraw-key", 1, 1, &control_commands::withdraw_key},
        {"list", 0, 0, &control_commands::list},
        {"show", 0, 1, &control_commands::show},
        {"history", 0, 0, &control_commands::history},
        {"version", 1, 1, &control_commands::version},
        {"status", 0, 0, &control_commands::status},
    };
    return all;
}

control_result<void> control_commands::run()
{
    const auto& all = commands();
    const auto found =
        std::find_if(all.begin(), all.end(), [this](const command& item) { return item.name == settings_.command; });
    if (found == all.end()) {
        return fail(exit_code::usage, control_event::wrong_usage, "unknown command " + settings_.command);
    }
    const auto count = settings_.arguments.size();
    if (count < found->least_arguments || count > found->most_arguments) {
        return fail(exit_code::usage, control_event::wrong_usage, "arguments of " + settings_.command);
    }
    return (this->*found->run)();
}

control_result<void> control_commands::propose()
{
    const auto answer = read_file(settings_.arguments[0]).and_then([this](const std::string& text) {
        return client_.post("/v1/proposals", text);
    });
    return print(answer, print_proposal);
}

control_result<void> control_commands::diff()
{
    const auto& subject = settings_.arguments[0];
    if (std::filesystem::exists(subject)) {
        return print(
            read_file(subject).and_then([this](const std::string& text) { return client_.post("/v1/diff", text); }),
            print_differences);
    }
    return print(path_segment(subject).and_then(
                     [this](const std::string& id) { return client_.get("/v1/proposals/" + id + "/diff"); }),
                 print_differences);
}

control_result<void> control_commands::check()
{
    const auto answer = read_file(settings_.arguments[0]).and_then([this](const std::string& text) {
        return client_.post("/v1/check", text);
    });
    return print(answer, [](std::ostream& stream, const json& result) {
        stream << "no faults against version " << result["version"] << '\n';
    });
}

control_result<void> control_commands::review()
{
    const auto answer = path_segment(settings_.arguments[0]).and_then([this](const std::string& id) {
        return client_.post("/v1/proposals/" + id + "/review");
    });
    return print(answer, print_proposal);
}

control_result<void> control_commands::publish()
{
    return finish_publish(path_segment(settings_.arguments[0]).and_then([this](const std::string& id) {
        return client_.post("/v1/proposals/" + id + "/publish");
    }));
}

control_result<void> control_commands::create_key()
{
    const auto customer = path_segment(settings_.arguments[0]);
    const auto name = path_segment(settings_.arguments[1]);
    if (!customer || !name) {
        return tl::unexpected{customer ? name.error() : customer.error()};
    }
    const auto secret = make_key_secret();
    if (!secret) {
        const auto& reason = secret.error();
        return tl::unexpected{
            control_failure{exit_code::unexpected, reason.number(), std::string{reason.name()}, reason.subject(), {}}};
    }
    const configuration::key item{kernel::key_name{*name}, kernel::customer_name{*customer},
                                  configuration::sha256_hex(*secret), configuration::key_state::active};
    const json proposal{{"changes", configuration::encode_changes({configuration::put_object{item}})}};
    if (!settings_.proposal_file.empty()) {
        std::ofstream file{settings_.proposal_file};
        file << proposal.dump(2) << std::endl;
        if (!file) {
            return fail(exit_code::usage, control_event::file_unwritable, settings_.proposal_file);
        }
    }
    return print(json{{"secret", *secret}, {"proposal", proposal}}, [this](std::ostream& stream, const json& result) {
        stream << "secret (shown only now): " << result["secret"].get<std::string>() << '\n';
        if (settings_.proposal_file.empty()) {
            stream << result["proposal"].dump(2) << '\n';
        }
        else {
            stream << "proposal written to " << settings_.proposal_file << '\n';
        }
    });
}

control_result<void> control_commands::withdraw_key()
{
    return finish_publish(path_segment(settings_.arguments[0]).and_then([this](const std::string& name) {
        return client_.post("/v1/keys/" + name + "/withdraw");
    }));
}

control_result<void> control_commands::list()
{
    std::string target = "/v1/proposals?limit=" + std::to_string(settings_.limit.value_or(20));
    if (!settings_.after.empty()) {
        const auto after = path_segment(settings_.after);
        if (!after) {
            return tl::unexpected{after.error()};
        }
        target += "&after=" + *after;
    }
    return print(client_.get(target), print_proposals);
}

control_result<void> control_commands::show()
{
    if (settings_.arguments.empty()) {
        return print(client_.get("/v1/configuration"), print_configuration);
    }
    const auto answer = path_segment(settings_.arguments[0]).and_then([this](const std::string& id) {
        return client_.get("/v1/proposals/" + id);
    });
    return print(answer, print_proposal);
}

control_result<void> control_commands::history()
{
    return print(client_.get("/v1/history?limit=" + std::to_string(settings_.limit.value_or(20))), print_history);
}

control_result<void> control_commands::version()
{
    const auto answer = path_segment(settings_.arguments[0]).and_then([this](const std::string& number) {
        return client_.get("/v1/versions/" + number);
    });
    return print(answer, print_version);
}

control_result<void> control_commands::status()
{
    return print(client_.get("/v1/status"), print_status);
}

control_result<void> control_commands::print(const control_result<json>& answer, const printer& print_table)
{
    if (!answer) {
        return tl::unexpected{answer.error()};
    }
    try {
        if (settings_.output == output_form::json) {
            stream_ << answer->dump(2) << '\n';
        }
        else {
            print_table(stream_, *answer);
        }
    }
    catch (const json::exception&) {
        return fail(exit_code::unexpected, control_event::unexpected_answer, settings_.operator_address.value());
    }
    return {};
}

control_result<void> control_commands::finish_publish(const control_result<json>& answer)
{
    if (!answer) {
        return tl::unexpected{answer.error()};
    }
    if (!answer->is_object() || !answer->contains("version") || !(*answer)["version"].is_number_unsigned()) {
        return fail(exit_code::unexpected, control_event::unexpected_answer, settings_.operator_address.value());
    }
    const auto version = (*answer)["version"].get<std::uint64_t>();
    if (!settings_.wait) {
        return print(answer, [version](std::ostream& stream, const json&) { stream << "version " << version << '\n'; });
    }
    return print(wait_until_accepted(version), print_version);
}

control_result<json> control_commands::wait_until_accepted(std::uint64_t version)
{
    const auto deadline = kernel::boot_clock::now() + *settings_.wait;
    std::string last_state = "unknown";
    while (true) {
        auto progress = client_.get("/v1/versions/" + std::to_string(version));
        // A host that does not answer for a moment does not undo the publish, so the wait goes on.
        if (progress && progress->is_object()) {
            last_state = progress->value("state", json{}).dump() + ", held by " +
                         progress->value("holders", json{}).dump() + " of " +
                         progress->value("roster_size", json{}).dump() + " hosts";
            if (progress->value("state", json{}) == "accepted") {
                return progress;
            }
        }
        if (kernel::boot_clock::now() + acceptance_poll_interval > deadline) {
            return fail(exit_code::not_accepted, control_event::version_not_accepted,
                        "version " + std::to_string(version) + " " + last_state);
        }
        std::this_thread::sleep_for(acceptance_poll_interval);
    }
}

} // namespace wisterialane::control
