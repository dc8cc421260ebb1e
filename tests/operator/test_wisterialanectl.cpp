#include "tests/operator/operator_fixture.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <sys/wait.h>
#include <unistd.h>

namespace wisterialane::services {
namespace {

class control_fixture : public operator_fixture {
protected:
    control_fixture() { std::filesystem::create_directories(folder_); }

    ~control_fixture() { std::filesystem::remove_all(folder_); }

    control_fixture(const control_fixture&) = delete;
    control_fixture& operator=(const control_fixture&) = delete;

    struct outcome {
        int code = -1;
        /// Standard output and standard error.
        std::string text;
    };

    outcome run(const std::string& arguments, const std::string& operator_name = "ada", const std::string& address = "")
    {
        const auto command =
            "WISTERIALANE_OPERATOR_ADDRESS=" + (address.empty() ? service_->address().value() : address) +
            " WISTERIALANE_OPERATOR_TOKEN=token-" + operator_name +
            " timeout 20 " WL_BINARY_DIRECTORY "/wisterialanectl " + arguments + " 2>&1";
        auto* pipe = popen(command.c_str(), "r");
        REQUIRE(pipe != nullptr);
        outcome result;
        std::array<char, 4096> buffer{};
        while (const auto count = std::fread(buffer.data(), 1, buffer.size(), pipe)) {
            result.text.append(buffer.data(), count);
        }
        result.code = WEXITSTATUS(pclose(pipe));
        return result;
    }

    std::string write_file(const std::string& changes)
    {
        auto path = (folder_ / "proposal.json").string();
        std::ofstream{path} << R"({"changes":)" << changes << "}";
        return path;
    }

    const std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() / ("wisterialanectl-test-" + std::to_string(getpid()));
};

// Guards against scripts that take one kind of failure for another.
TEST_CASE_FIXTURE(control_fixture, "wisterialanectl: each kind of failure: has its own exit code and one numbered line")
{
    const auto id = propose(large_limit_);
    const auto check = [](const outcome& result, int code, const std::string& line) {
        CAPTURE(result.text);
        CHECK(result.code == code);
        CHECK(result.text.find("wisterialanectl: " + line) != std::string::npos);
    };
    check(run("fly"), 2, "9100 wrong_usage");
    check(run("--output xml status"), 2, "9100 wrong_usage");
    check(run("show ../status"), 2, "9100 wrong_usage");
    check(run("propose /nowhere/file"), 2, "9103 file_unreadable");
    check(run("status", "ada", "127.0.0.1:1"), 3, "9101 host_unreachable");
    check(run("status", "eve"), 4, "9001 not_authenticated");
    check(run("publish " + id), 4, "3017 review_missing");
    check(run("review " + id), 4, "3018 reviewer_is_author");
    check(run("check " + write_file(R"([{"delete":{"kind":"limit","name":"small"}}])")), 5, "3027 check_failed");
    check(run("review absent"), 8, "3015 proposal_unknown");
    CHECK(run("review " + id, "bob").code == 0);
    CHECK(run("publish " + id).code == 0);
    check(run("publish " + id), 6, "3016 proposal_already_published: 2");
    const auto help = run("--help");
    CHECK(help.code == 0);
    CHECK(help.text.find("  9  outcome unknown") != std::string::npos);
}

// Guards against a publish that counts as done while hosts still act on the old version.
TEST_CASE_FIXTURE(control_fixture, "wisterialanectl: publish --wait: succeeds only when the version is accepted")
{
    const auto file = write_file(large_limit_);
    CHECK(run("check " + file).text == "no faults against version 1\n");
    CHECK(run("diff " + file).text == "create limit/large\n  burst: - -> 9.0\n  rate_per_second: - -> 100.0\n");
    const auto proposed = run("--output json propose " + file);
    REQUIRE(proposed.code == 0);
    const std::string id = nlohmann::json::parse(proposed.text)["id"];
    CHECK(run("diff " + id).text.find("create limit/large") == 0);
    CHECK(run("review " + id, "bob").code == 0);
    view_.set_state(configuration::version_state::committed);
    const auto late = run("publish " + id + " --wait 0.3");
    CHECK(late.code == 7);
    CHECK(late.text.find("9105 version_not_accepted: version 2 \"committed\", held by 2 of 3 hosts") !=
          std::string::npos);
    view_.set_state(configuration::version_state::accepted);
    const auto withdrawn = run("withdraw-key acme-1 --wait 5");
    CHECK(withdrawn.code == 0);
    CHECK(withdrawn.text == "version 3 accepted, held by 2 of 3 hosts\nnot known to hold it: h3\n");
    CHECK(run("version 3").text == withdrawn.text);
    for (const auto& command : std::vector<std::string>{"show", "show " + id, "list", "history", "status"}) {
        CAPTURE(command);
        CHECK(run(command).code == 0);
        CHECK(nlohmann::json::accept(run(command + " --output json").text));
    }
}

// Guards against a secret that reaches the platform, and against one of the wrong form, which is not recognised in
// requests.
TEST_CASE_FIXTURE(control_fixture, "wisterialanectl: create-key: prints the secret and writes only its digest")
{
    const auto path = (folder_ / "key.json").string();
    const auto created = run("create-key acme acme-2 --file " + path);
    REQUIRE(created.code == 0);
    const auto start = created.text.find("wlk_");
    REQUIRE(start != std::string::npos);
    const auto secret = created.text.substr(start, created.text.find('\n', start) - start);
    CHECK(secret.size() == 47);
    CHECK(std::all_of(secret.begin() + 4, secret.end(), [](unsigned char item) { return std::isalnum(item) != 0; }));
    std::ifstream file{path};
    const std::string proposal{std::istreambuf_iterator<char>{file}, {}};
    CHECK(proposal.find("wlk_") == std::string::npos);
    CHECK(proposal.find(configuration::sha256_hex(secret)) != std::string::npos);
    CHECK(run("propose " + path).code == 0);
    CHECK(run("create-key acme acme-3").text.find(secret) == std::string::npos);
}

} // namespace
} // namespace wisterialane::services
