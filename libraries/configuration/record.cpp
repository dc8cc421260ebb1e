#include "libraries/configuration/record.h"

#include "libraries/configuration/configuration_events.h"
#include "libraries/configuration/digest.h"
#include "libraries/configuration/field_reader.h"
#include "libraries/configuration/json_codec.h"
#include "libraries/configuration/validation.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace wisterialane::configuration {
namespace {

using nlohmann::json;

json encode_content(const record& item)
{
    return {{"version", item.version.value()},
            {"previous_hash", item.previous_hash.value()},
            {"proposal_id", item.proposal.value()},
            {"author", item.author.value()},
            {"changes", encode_changes(item.changes)},
            {"roster", item.new_roster ? encode_roster(*item.new_roster) : json{}}};
}

std::vector<change> read_changes(field_reader& reader, std::vector<fault>& faults)
{
    const auto* value = reader.any("changes");
    if (value == nullptr) {
        return {};
    }
    auto changes = decode_changes(*value);
    if (!changes) {
        faults.insert(faults.end(), changes.error().begin(), changes.error().end());
        return {};
    }
    for (const auto& item : *changes) {
        if (const auto* put = std::get_if<put_object>(&item)) {
            validate(put->item, faults);
        }
    }
    return std::move(*changes);
}

std::optional<roster> read_roster(field_reader& reader)
{
    const auto* value = reader.any("roster");
    if (value == nullptr || value->is_null()) {
        return std::nullopt;
    }
    auto hosts = decode_roster(*value);
    if (!hosts) {
        reader.add_fault("roster", configuration_event::malformed_input, {});
        return std::nullopt;
    }
    return std::move(*hosts);
}

} // namespace

chain_hash hash_of(const record& item)
{
    return chain_hash{sha256_hex(item.previous_hash.value() + write_json(encode_content(item)))};
}

record make_record(kernel::version_number previous_version, const chain_hash& previous_hash,
                   kernel::proposal_id proposal, kernel::operator_name author, std::vector<change> changes,
                   std::optional<roster> new_roster)
{
    if (new_roster) {
        auto& entries = new_roster->entries;
        const auto by_instance = [](const auto& left, const auto& right) {
            return left.instance.value() < right.instance.value();
        };
        std::stable_sort(entries.begin(), entries.end(), by_instance);
        const auto same = [](const auto& left, const auto& right) { return left.instance == right.instance; };
        entries.erase(std::unique(entries.begin(), entries.end(), same), entries.end());
    }
    record item{kernel::version_number{previous_version.value() + 1},
                previous_hash,
                {},
                std::move(proposal),
                std::move(author),
                std::move(changes),
                std::move(new_roster)};
    item.hash = hash_of(item);
    return item;
}

std::string encode_record(const record& item)
{
    auto value = encode_content(item);
    value["hash"] = item.hash.value();
    return write_json(value);
}

kernel::result<record> decode_record(std::string_view text)
{
    const auto value = parse_json(text);
    if (!value || !value->is_object()) {
        return kernel::fail(configuration_event::malformed_input, "record");
    }
    std::vector<fault> faults;
    field_reader reader{*value, {object_kind::limit, "record"}, faults};
    record item{kernel::version_number{reader.integer("version", std::numeric_limits<std::uint64_t>::max())},
                chain_hash{reader.text("previous_hash")},
                chain_hash{reader.text("hash")},
                kernel::proposal_id{reader.text("proposal_id")},
                kernel::operator_name{reader.text("author")},
                read_changes(reader, faults),
                read_roster(reader)};
    reader.finish();
    if (!faults.empty()) {
        const auto& first = faults.front();
        return kernel::fail(configuration_event::malformed_input,
                            to_text(first.object) + " " + first.field + " " + std::string{to_name(first.reason)});
    }
    if (hash_of(item) != item.hash) {
        return kernel::fail(configuration_event::hash_mismatch, std::to_string(item.version.value()));
    }
    return item;
}

} // namespace wisterialane::configuration
