#include "libraries/configuration/proposal.h"

#include "libraries/configuration/configuration_events.h"
#include "libraries/configuration/field_reader.h"
#include "libraries/configuration/json_codec.h"

#include <limits>
#include <utility>

namespace wisterialane::configuration {
namespace {

using nlohmann::json;

constexpr auto any_version = std::numeric_limits<std::uint64_t>::max();
/// A proposal has as many changes as one record, with other members beside them.
constexpr std::size_t maximum_proposal_bytes = 2 * maximum_input_bytes;

std::vector<kernel::operator_name> read_reviewers(field_reader& reader)
{
    std::vector<kernel::operator_name> reviewers;
    const auto* values = reader.any("reviewers");
    if (values == nullptr || !values->is_array()) {
        reader.add_fault("reviewers", configuration_event::malformed_input, {});
        return reviewers;
    }
    for (const auto& value : *values) {
        if (!value.is_string()) {
            reader.add_fault("reviewers", configuration_event::malformed_input, {});
            return reviewers;
        }
        reviewers.emplace_back(value.get<std::string>());
    }
    return reviewers;
}

} // namespace

json encode_proposal(const proposal& item)
{
    auto reviewers = json::array();
    for (const auto& reviewer : item.reviewers) {
        reviewers.push_back(reviewer.value());
    }
    return {{"id", item.id.value()},
            {"author", item.author.value()},
            {"base_version", item.base_version.value()},
            {"changes", encode_changes(item.changes)},
            {"reviewers", std::move(reviewers)},
            {"published_version", item.published_version ? json(item.published_version->value()) : json{}}};
}

kernel::result<proposal> decode_proposal(std::string_view text)
{
    const auto value = parse_json(text, maximum_proposal_bytes);
    if (!value || !value->is_object()) {
        return kernel::fail(configuration_event::malformed_input, "proposal");
    }
    std::vector<fault> faults;
    field_reader reader{*value, {object_kind::limit, "proposal"}, faults};
    proposal item;
    item.id = kernel::proposal_id{reader.text("id")};
    item.author = kernel::operator_name{reader.text("author")};
    item.base_version = kernel::version_number{reader.integer("base_version", any_version)};
    item.reviewers = read_reviewers(reader);
    if (const auto* changes = reader.any("changes")) {
        auto decoded_changes = decode_changes(*changes);
        if (!decoded_changes) {
            return kernel::fail(configuration_event::malformed_input, "proposal changes");
        }
        item.changes = std::move(*decoded_changes);
    }
    const auto* published = reader.any("published_version");
    if (published != nullptr && !published->is_null()) {
        item.published_version = kernel::version_number{reader.integer("published_version", any_version)};
    }
    reader.finish();
    if (!faults.empty()) {
        return kernel::fail(configuration_event::malformed_input, "proposal " + faults.front().field);
    }
    return item;
}

} // namespace wisterialane::configuration
