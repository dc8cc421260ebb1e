#include "libraries/settings/host_settings.h"
#include "libraries/settings/setting_table.h"
#include "libraries/settings/settings_events.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace wisterialane::settings {
namespace {

class settings_fixture {
protected:
    tl::expected<command_line, std::vector<kernel::failure>> read()
    {
        std::vector<std::string> arguments;
        for (const auto& [name, value] : flags_) {
            arguments.push_back("--" + name + "=" + value);
        }
        arguments.insert(arguments.end(), extra_.begin(), extra_.end());
        return read_command_line(arguments, [this](const std::string& name) -> std::optional<std::string> {
            const auto found = environment_.find(name);
            return found == environment_.end() ? std::nullopt : std::optional{found->second};
        });
    }

    static std::size_t count(const std::vector<kernel::failure>& faults, settings_event code)
    {
        return static_cast<std::size_t>(
            std::count_if(faults.begin(), faults.end(), [code](const auto& fault) { return fault.is(code); }));
    }

    std::map<std::string, std::string> flags_{{"host-name", "host-1"},
                                              {"data-centre", "dc-a"},
                                              {"caller-address", "127.0.0.1:0"},
                                              {"operator-address", "127.0.0.1:0"},
                                              {"peer-address", "127.0.0.1:0"},
                                              {"platform-address", "127.0.0.1:9"},
                                              {"fleet-secret", "0123456789abcdef"}};
    std::map<std::string, std::string> environment_;
    std::vector<std::string> extra_;
};

TEST_CASE_FIXTURE(settings_fixture, "host_settings: all required settings: fills in the defaults")
{
    const auto line = read();
    REQUIRE(line);
    CHECK(line->settings.caller_threads == 320);
    CHECK(line->settings.seed_peers.empty());
    CHECK(line->settings.platform_timeout == std::chrono::seconds{1});
}

TEST_CASE_FIXTURE(settings_fixture, "host_settings: flag and environment variable: the flag wins")
{
    environment_["WISTERIALANE_HOST_NAME"] = "other";
    environment_["WISTERIALANE_DRAIN_MS"] = "77";
    const auto line = read();
    REQUIRE(line);
    CHECK(line->settings.host.value() == "host-1");
    CHECK(line->settings.drain == std::chrono::milliseconds{77});
}

// Guards against an operator who repairs one fault at a time.
TEST_CASE_FIXTURE(settings_fixture, "host_settings: several faults: reports each of them")
{
    flags_.erase("host-name");
    flags_["caller-address"] = "localhost:80";
    flags_["caller-threads"] = "many";
    flags_["drain-ms"] = "-5";
    flags_["operators"] = "anna:1234";
    extra_ = {"--no-such-flag"};
    const auto line = read();
    REQUIRE_FALSE(line);
    CHECK(count(line.error(), settings_event::missing_value) == 1);
    CHECK(count(line.error(), settings_event::invalid_value) == 3);
    CHECK(count(line.error(), settings_event::value_out_of_range) == 1);
    CHECK(count(line.error(), settings_event::unknown_flag) == 1);
}

// Guards against a secret on a console or in a log.
TEST_CASE_FIXTURE(settings_fixture, "host_settings: faulty secret: is not repeated in the fault")
{
    flags_["fleet-secret"] = "too-short";
    const auto line = read();
    REQUIRE_FALSE(line);
    REQUIRE(line.error().size() == 1);
    CHECK(line.error()[0].subject().find("too-short") == std::string::npos);
}

// Guards against one faulty value of each setting passing unchecked.
TEST_CASE_FIXTURE(settings_fixture, "host_settings: each setting: refuses a faulty value")
{
    for (const auto& setting : host_setting_table()) {
        CAPTURE(setting.name);
        auto saved = flags_;
        flags_[std::string{setting.name}] = setting.form == setting_form::secret ? "short" : "!";
        const auto line = read();
        REQUIRE_FALSE(line);
        CHECK(line.error().size() == 1);
        flags_ = saved;
    }
}

TEST_CASE_FIXTURE(settings_fixture, "host_settings: --help: needs no settings")
{
    flags_.clear();
    extra_ = {"--help"};
    const auto line = read();
    REQUIRE(line);
    CHECK(line->action == command_line_action::print_help);
    CHECK(render_help().find("--caller-address") != std::string::npos);
}

// Guards against docs that no longer say what the code reads.
TEST_CASE("setting_table: docs/SETTINGS.md: is what the table renders")
{
    std::ifstream file{std::string{WL_SOURCE_DIRECTORY} + "/docs/SETTINGS.md"};
    std::stringstream page;
    page << file.rdbuf();
    CHECK(page.str() == render_settings_page());
}

} // namespace
} // namespace wisterialane::settings
