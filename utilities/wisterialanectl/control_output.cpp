#include "utilities/wisterialanectl/control_output.h"

#include "utilities/wisterialanectl/text_table.h"

#include <ostream>
#include <set>
#include <string>

namespace wisterialane::control {
namespace {

using nlohmann::json;

/// A member as a table cell; texts without quotes, lists separated by commas, and nothing for null.
std::string cell(const json& value)
{
    if (value.is_null()) {
        return "-";
    }
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (!value.is_array()) {
        return value.dump();
    }
    std::string text;
    for (const auto& item : value) {
        text += (text.empty() ? "" : ", ") + cell(item);
    }
    return text.empty() ? "-" : text;
}

std::string cell(const json& object, const char* member)
{
    return object.contains(member) ? cell(object[member]) : "-";
}

/// The fields of an object other than its kind and name.
std::string fields(const json& object)
{
    std::string text;
    for (const auto& [name, value] : object.items()) {
        if (name != "kind" && name != "name") {
            text += (text.empty() ? "" : " ") + name + "=" + cell(value);
        }
    }
    return text;
}

void print_rows(std::ostream& stream, const json& rows, const std::vector<const char*>& members)
{
    text_table table{{members.begin(), members.end()}};
    for (const auto& row : rows) {
        std::vector<std::string> cells;
        cells.reserve(members.size());
        for (const auto* member : members) {
            cells.push_back(cell(row, member));
        }
        table.add(std::move(cells));
    }
    table.print(stream);
}

} // namespace

void print_proposal(std::ostream& stream, const json& proposal)
{
    print_rows(stream, json::array({proposal}), {"id", "author", "base_version", "reviewers", "published_version"});
    stream << '\n';
    text_table table{{"change", "kind", "name", "fields"}};
    for (const auto& item : proposal["changes"]) {
        for (const auto& [action, object] : item.items()) {
            table.add({action, cell(object, "kind"), cell(object, "name"), fields(object)});
        }
    }
    table.print(stream);
}

void print_proposals(std::ostream& stream, const json& answer)
{
    print_rows(stream, answer["proposals"],
               {"id", "author", "base_version", "change_count", "reviewers", "published_version"});
}

void print_configuration(std::ostream& stream, const json& answer)
{
    stream << "version " << cell(answer, "version") << '\n';
    text_table table{{"kind", "name", "fields"}};
    for (const auto& object : answer["objects"]) {
        table.add({cell(object, "kind"), cell(object, "name"), fields(object)});
    }
    table.print(stream);
}

void print_history(std::ostream& stream, const json& answer)
{
    print_rows(stream, answer["records"],
               {"version", "author", "proposal_id", "change_count", "roster_changed", "objects"});
}

void print_status(std::ostream& stream, const json& answer)
{
    for (const auto* member : {"host", "data_centre", "version", "settled_version", "freshness", "platform_answers",
                               "hosts", "requests_in_flight"}) {
        if (answer.contains(member)) {
            stream << member << ' ' << cell(answer, member) << '\n';
        }
    }
    const auto objects = answer.value("objects", json::object());
    for (const auto& [kind, count] : objects.items()) {
        stream << "objects " << kind << ' ' << cell(count) << '\n';
    }
    if (answer.contains("limited_customers")) {
        print_rows(stream, answer["limited_customers"], {"customer", "refusals", "last_refused_seconds_ago"});
    }
    const auto services = answer.value("services", json::array());
    for (const auto& service : services) {
        stream << "service " << cell(service, "service") << ": " << cell(service, "usable_slots") << " of "
               << cell(service, "configured_slots") << " slots usable, at least " << cell(service, "required_slots")
               << " required\n";
        print_rows(
            stream, service["upstreams"],
            {"upstream", "condition", "leaving", "since_seconds", "weight", "good", "bad", "reporters", "ejections"});
    }
}

void print_version(std::ostream& stream, const json& answer)
{
    stream << "version " << cell(answer, "version") << ' ' << cell(answer, "state") << ", held by "
           << cell(answer, "holders") << " of " << cell(answer, "roster_size") << " hosts\n";
    if (answer.contains("lagging") && !answer["lagging"].empty()) {
        stream << "not known to hold it: " << cell(answer, "lagging") << '\n';
    }
}

void print_differences(std::ostream& stream, const json& answer)
{
    for (const auto& item : answer["differences"]) {
        stream << cell(item, "action") << ' ' << cell(item, "kind") << '/' << cell(item, "name") << '\n';
        std::set<std::string> names;
        for (const auto* side : {"before", "after"}) {
            for (const auto& [name, value] : item[side].items()) {
                names.insert(name);
            }
        }
        for (const auto& name : names) {
            const auto before = cell(item["before"], name.c_str());
            const auto after = cell(item["after"], name.c_str());
            if (name != "kind" && name != "name" && before != after) {
                stream << "  " << name << ": " << before << " -> " << after << '\n';
            }
        }
    }
}

void print_details(std::ostream& stream, const control_failure& failure)
{
    if (failure.answer.contains("faults")) {
        print_rows(stream, failure.answer["faults"], {"kind", "name", "field", "number", "reason", "detail"});
    }
    if (failure.answer.contains("conflicts")) {
        print_rows(stream, failure.answer["conflicts"], {"kind", "name"});
    }
}

} // namespace wisterialane::control
