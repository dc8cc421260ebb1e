#include "services/operator_api.h"

#include "kernel/event_log.h"
#include "libraries/configuration/configuration_events.h"
#include "libraries/configuration/field_reader.h"
#include "libraries/configuration/json_codec.h"
#include "services/operator_events.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

namespace wisterialane::services {
namespace {

using configuration::configuration_event;
using nlohmann::json;

constexpr std::uint64_t default_page_size = 20;
constexpr std::uint64_t maximum_page_size = 100;
/// Changed objects that a history line names.
constexpr std::size_t maximum_named_objects = 10;

struct submission {
    std::vector<configuration::change> changes;
    std::optional<kernel::version_number> base_version;
};

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

kernel::result<std::uint64_t> number_parameter(const operator_request& request, const std::string& name,
                                               std::uint64_t default_value)
{
    const auto found = request.query.find(name);
    if (found == request.query.end()) {
        return default_value;
    }
    const auto number = parse_number(found->second);
    if (!number) {
        return kernel::fail(operator_event::invalid_parameter, name);
    }
    return *number;
}

kernel::result<std::uint64_t> page_size(const operator_request& request)
{
    return number_parameter(request, "limit", default_page_size).map([](std::uint64_t size) {
        return std::clamp<std::uint64_t>(size, 1, maximum_page_size);
    });
}

kernel::result<kernel::version_number> version_segment(const operator_request& request)
{
    const auto number = parse_number(request.segments[2]);
    if (!number) {
        return kernel::fail(operator_event::invalid_parameter, "version");
    }
    return kernel::version_number{*number};
}

tl::expected<submission, operator_response> read_submission(const std::string& body)
{
    const auto value = configuration::parse_json(body);
    if (!value) {
        return tl::unexpected{describe(value.error())};
    }
    if (!value->is_object()) {
        return tl::unexpected{describe(kernel::failure{configuration_event::malformed_input, "JSON object expected"})};
    }
    std::vector<configuration::fault> faults;
    configuration::field_reader reader{*value, {configuration::object_kind::limit, "proposal"}, faults};
    submission result;
    if (const auto* changes = reader.any("changes")) {
        auto decoded = configuration::decode_changes(*changes);
        if (!decoded) {
            faults.insert(faults.end(), decoded.error().begin(), decoded.error().end());
        }
        else if (decoded->empty()) {
            reader.add_fault("changes", configuration_event::missing_field, "no changes");
        }
        else {
            result.changes = std::move(*decoded);
        }
    }
    if (value->contains("base_version")) {
        result.base_version =
            kernel::version_number{reader.integer("base_version", std::numeric_limits<std::uint64_t>::max())};
    }
    reader.finish();
    if (!faults.empty()) {
        return tl::unexpected{describe(faults)};
    }
    return result;
}

json summarize(const configuration::record& item)
{
    auto objects = json::array();
    for (std::size_t index = 0; index < std::min(item.changes.size(), maximum_named_objects); ++index) {
        objects.push_back(configuration::to_text(configuration::target_of(item.changes[index])));
    }
    return {{"version", item.version.value()},
            {"author", item.author.value()},
            {"proposal_id", item.proposal.value()},
            {"hash", item.hash.value()},
            {"change_count", item.changes.size()},
            {"objects", std::move(objects)},
            {"roster_changed", item.new_roster.has_value()}};
}

std::string_view to_text(configuration::version_state state)
{
    switch (state) {
    case configuration::version_state::unknown:
        return "unknown";
    case configuration::version_state::committed:
        return "committed";
    case configuration::version_state::accepted:
        return "accepted";
    }
    return "unknown";
}

json describe_difference(const configuration::configuration_set& set, const configuration::change& item)
{
    const auto target = configuration::target_of(item);
    const auto* before = set.find(target);
    const auto* put = std::get_if<configuration::put_object>(&item);
    std::string_view action = "delete";
    if (put != nullptr) {
        action = before == nullptr ? "create" : *before == put->item ? "keep" : "replace";
    }
    return {{"kind", configuration::to_text(target.kind)},
            {"name", target.name},
            {"action", action},
            {"before", before == nullptr ? json{} : configuration::encode_object(*before)},
            {"after", put == nullptr ? json{} : configuration::encode_object(put->item)}};
}

bool matches(std::span<const std::string_view> pattern, const std::vector<std::string>& segments)
{
    return std::equal(pattern.begin(), pattern.end(), segments.begin(), segments.end(),
                      [](std::string_view expected, const std::string& segment) {
                          return expected == segment || (expected == "*" && !segment.empty());
                      });
}

void log_action(const operator_request& request, std::string_view action, const std::string& subject)
{
    kernel::log_event(kernel::severity::information, operator_event::operator_action,
                      {{"operator", request.sender.value()}, {"action", std::string{action}}, {"subject", subject}});
}

} // namespace

operator_api::operator_api(configuration::configuration_view& view, platform::table& table,
                           platform::object_store& objects, kernel::clock_source clock)
    : view_{view}, log_{table, objects}, proposals_{table}, publisher_{log_, proposals_}, clock_{std::move(clock)}
{}

const std::vector<operator_api::endpoint>& operator_api::endpoints()
{
    static const std::vector<endpoint> all{
        {"GET", {"v1", "status"}, &operator_api::show_status},
        {"GET", {"v1", "configuration"}, &operator_api::show_configuration},
        {"GET", {"v1", "history"}, &operator_api::show_history},
        {"GET", {"v1", "records", "*"}, &operator_api::show_record},
        {"GET", {"v1", "versions", "*"}, &operator_api::show_version},
        {"POST", {"v1", "check"}, &operator_api::check},
        {"POST", {"v1", "diff"}, &operator_api::diff},
        {"GET", {"v1", "proposals"}, &operator_api::list_proposals},
        {"POST", {"v1", "proposals"}, &operator_api::propose},
        {"GET", {"v1", "proposals", "*"}, &operator_api::show_proposal},
        {"GET", {"v1", "proposals", "*", "diff"}, &operator_api::diff_proposal},
        {"POST", {"v1", "proposals", "*", "review"}, &operator_api::review},
        {"POST", {"v1", "proposals", "*", "publish"}, &operator_api::publish},
        {"POST", {"v1", "keys", "*", "withdraw"}, &operator_api::withdraw_key},
    };
    return all;
}

operator_response operator_api::handle(const operator_request& request)
{
    bool path_known = false;
    for (const auto& candidate : endpoints()) {
        if (!matches(candidate.path, request.segments)) {
            continue;
        }
        if (candidate.method == request.method) {
            return (this->*candidate.handle)(request);
        }
        path_known = true;
    }
    const auto code = path_known ? operator_event::method_not_allowed : operator_event::unknown_path;
    return describe(kernel::failure{code, request.method});
}

operator_response operator_api::show_status(const operator_request&)
{
    json body;
    view_.read([&body](const configuration::configuration_set& set) {
        body["version"] = set.version().value();
        body["hash"] = set.hash().value();
        body["hosts"] = set.hosts().entries.size();
        body["objects"] = json::object();
        for (const auto& reference : set.list()) {
            auto& count = body["objects"][std::string{configuration::to_text(reference.kind)}];
            count = count.is_null() ? 1 : count.get<int>() + 1;
        }
    });
    const auto now = clock_();
    body["freshness"] = view_.freshness_at(now) == configuration::freshness::fresh ? "fresh" : "stale";
    body["settled_version"] = view_.settled_version(now).value();
    return {200, std::move(body)};
}

operator_response operator_api::show_configuration(const operator_request&)
{
    std::string text;
    view_.read([&text](const configuration::configuration_set& set) { text = set.encode_snapshot(); });
    return {200, json::parse(text)};
}

operator_response operator_api::show_history(const operator_request& request)
{
    const auto before = number_parameter(request, "before", held_version().value() + 1);
    const auto limit = page_size(request);
    if (!before || !limit) {
        return describe(before ? limit.error() : before.error());
    }
    const auto newest = *before == 0 ? 0 : *before - 1;
    const auto after = newest > *limit ? newest - *limit : 0;
    const auto records = log_.read_after(kernel::version_number{after}, static_cast<std::size_t>(newest - after));
    if (!records) {
        return describe(records.error());
    }
    auto lines = json::array();
    for (auto item = records->rbegin(); item != records->rend(); ++item) {
        lines.push_back(summarize(*item));
    }
    return {200, {{"records", std::move(lines)}}};
}

operator_response operator_api::show_record(const operator_request& request)
{
    const auto version = version_segment(request);
    if (!version) {
        return describe(version.error());
    }
    const auto item = log_.read(*version);
    if (!item) {
        return describe(item.error());
    }
    if (!*item) {
        return describe(kernel::failure{configuration_event::object_missing, "version " + request.segments[2]});
    }
    return {200, json::parse(configuration::encode_record(**item))};
}

operator_response operator_api::show_version(const operator_request& request)
{
    const auto version = version_segment(request);
    if (!version) {
        return describe(version.error());
    }
    const auto progress = view_.progress_of(*version, clock_());
    auto lagging = json::array();
    for (const auto& host : progress.lagging) {
        lagging.push_back(host.value());
    }
    return {200,
            {{"version", progress.version.value()},
             {"state", to_text(progress.state)},
             {"holders", progress.holders},
             {"roster_size", progress.roster_size},
             {"lagging", std::move(lagging)}}};
}

operator_response operator_api::check(const operator_request& request)
{
    const auto submitted = read_submission(request.body);
    if (!submitted) {
        return submitted.error();
    }
    std::vector<configuration::fault> faults;
    kernel::version_number version;
    view_.read([&](const configuration::configuration_set& set) {
        faults = set.check(submitted->changes);
        version = set.version();
    });
    if (!faults.empty()) {
        return describe(faults);
    }
    return {200, {{"version", version.value()}, {"faults", json::array()}}};
}

operator_response operator_api::diff(const operator_request& request)
{
    const auto submitted = read_submission(request.body);
    return submitted ? describe_changes(submitted->changes) : submitted.error();
}

operator_response operator_api::list_proposals(const operator_request& request)
{
    const auto limit = page_size(request);
    if (!limit) {
        return describe(limit.error());
    }
    const auto after = request.query.find("after");
    const auto found =
        proposals_.list(after == request.query.end() ? "" : after->second, static_cast<std::size_t>(*limit));
    if (!found) {
        return describe(found.error());
    }
    auto lines = json::array();
    for (const auto& item : *found) {
        auto line = configuration::encode_proposal(item);
        line["change_count"] = item.changes.size();
        line.erase("changes");
        lines.push_back(std::move(line));
    }
    return {200, {{"proposals", std::move(lines)}}};
}

operator_response operator_api::propose(const operator_request& request)
{
    auto submitted = read_submission(request.body);
    if (!submitted) {
        return submitted.error();
    }
    std::vector<configuration::fault> faults;
    kernel::version_number held;
    view_.read([&](const configuration::configuration_set& set) {
        held = set.version();
        faults = set.check(submitted->changes);
    });
    const auto base = submitted->base_version.value_or(held);
    // A base version from the future would hide conflicts with the versions up to it.
    if (base.value() > held.value()) {
        faults.push_back({{configuration::object_kind::limit, "proposal"},
                          "base_version",
                          configuration_event::value_out_of_range,
                          "this host holds " + std::to_string(held.value())});
    }
    if (!faults.empty()) {
        return describe(faults);
    }
    const auto created = proposals_.create(request.sender, base, std::move(submitted->changes));
    if (!created) {
        return describe(created.error());
    }
    log_action(request, "propose", created->id.value());
    return {201, configuration::encode_proposal(*created)};
}

operator_response operator_api::show_proposal(const operator_request& request)
{
    const auto item = proposals_.read(kernel::proposal_id{request.segments[2]});
    return item ? operator_response{200, configuration::encode_proposal(*item)} : describe(item.error());
}

operator_response operator_api::diff_proposal(const operator_request& request)
{
    const auto item = proposals_.read(kernel::proposal_id{request.segments[2]});
    return item ? describe_changes(item->changes) : describe(item.error());
}

operator_response operator_api::review(const operator_request& request)
{
    const auto item = proposals_.add_review(kernel::proposal_id{request.segments[2]}, request.sender);
    if (!item) {
        return describe(item.error());
    }
    log_action(request, "review", item->id.value());
    return {200, configuration::encode_proposal(*item)};
}

operator_response operator_api::publish(const operator_request& request)
{
    log_action(request, "publish", request.segments[2]);
    return publish_proposal(kernel::proposal_id{request.segments[2]}, request.sender);
}

operator_response operator_api::withdraw_key(const operator_request& request)
{
    const kernel::key_name name{request.segments[2]};
    std::optional<configuration::key> present;
    kernel::version_number held;
    view_.read([&](const configuration::configuration_set& set) {
        held = set.version();
        if (const auto* found = set.find_key(name)) {
            present = *found;
        }
    });
    if (!present) {
        return describe(kernel::failure{configuration_event::object_missing, "key/" + name.value()});
    }
    log_action(request, "withdraw_key", name.value());
    // The version held contains the withdrawal, so a caller that waits for it to be accepted waits for the right thing.
    if (present->state == configuration::key_state::withdrawn) {
        return {200, {{"version", held.value()}, {"already_withdrawn", true}}};
    }
    present->state = configuration::key_state::withdrawn;
    const auto created = proposals_.create(request.sender, held, {configuration::put_object{*present}});
    if (!created) {
        return describe(created.error());
    }
    return publish_proposal(created->id, request.sender);
}

operator_response operator_api::publish_proposal(const kernel::proposal_id& id, const kernel::operator_name& sender)
{
    configuration::configuration_set current;
    view_.read([&current](const configuration::configuration_set& set) { current = set; });
    const auto version = publisher_.publish(id, sender, std::move(current));
    if (!version) {
        kernel::log_failure(kernel::severity::warning, version.error().reason,
                            {{"operator", sender.value()}, {"proposal", id.value()}});
        return describe(version.error());
    }
    view_.poll_now();
    return {200, {{"version", version->value()}, {"proposal_id", id.value()}}};
}

operator_response operator_api::describe_changes(const std::vector<configuration::change>& changes) const
{
    auto differences = json::array();
    kernel::version_number version;
    view_.read([&](const configuration::configuration_set& set) {
        version = set.version();
        for (const auto& item : changes) {
            differences.push_back(describe_difference(set, item));
        }
    });
    return {200, {{"version", version.value()}, {"differences", std::move(differences)}}};
}

kernel::version_number operator_api::held_version() const
{
    kernel::version_number version;
    view_.read([&version](const configuration::configuration_set& set) { version = set.version(); });
    return version;
}

} // namespace wisterialane::services
