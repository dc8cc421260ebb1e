#include "libraries/configuration/log_store.h"

#include "libraries/configuration/configuration_events.h"
#include "libraries/configuration/json_codec.h"
#include "libraries/platform/platform_events.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

namespace wisterialane::configuration {
namespace {

constexpr std::string_view log_table = "configuration_log";
constexpr std::string_view snapshot_pointer = "snapshot";
constexpr std::size_t version_digits = 12;
/// Reads that resolve a lost answer before its outcome counts as unknown.
constexpr int read_back_attempts = 3;
/// Writers of the snapshot pointer that may win before this one gives up.
constexpr int pointer_attempts = 5;

std::string version_key(kernel::version_number version)
{
    auto digits = std::to_string(version.value());
    digits.insert(0, version_digits - std::min(version_digits, digits.size()), '0');
    return digits;
}

std::optional<kernel::version_number> version_from_key(std::string_view key)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(key.data(), key.data() + key.size(), number);
    if (key.size() != version_digits || error != std::errc{} || end != key.data() + key.size()) {
        return std::nullopt;
    }
    return kernel::version_number{number};
}

std::string snapshot_key(kernel::version_number version)
{
    return "snapshots/" + version_key(version);
}

kernel::result<record> decode_row(const platform::row& row, kernel::version_number version)
{
    auto item = decode_record(row.value);
    if (item && item->version != version) {
        return kernel::fail(configuration_event::malformed_input, "record under key " + row.key);
    }
    return item;
}

} // namespace

kernel::result<std::optional<record>> log_store::read(kernel::version_number version)
{
    const auto row = table_.read(log_table, version_key(version));
    if (!row) {
        return tl::unexpected{row.error()};
    }
    if (!*row) {
        return std::optional<record>{};
    }
    auto item = decode_row(**row, version);
    if (!item) {
        return tl::unexpected{item.error()};
    }
    return std::optional<record>{std::move(*item)};
}

kernel::result<std::vector<record>> log_store::read_after(kernel::version_number version, std::size_t limit)
{
    const auto rows = table_.scan(log_table, "", version_key(version), limit);
    if (!rows) {
        return tl::unexpected{rows.error()};
    }
    std::vector<record> records;
    auto expected = version.value() + 1;
    for (const auto& row : *rows) {
        const auto found = version_from_key(row.key);
        // The snapshot pointer sorts after all versions.
        if (!found) {
            break;
        }
        if (found->value() != expected) {
            return kernel::fail(configuration_event::version_gap, row.key);
        }
        auto item = decode_row(row, *found);
        if (!item) {
            return tl::unexpected{item.error()};
        }
        records.push_back(std::move(*item));
        ++expected;
    }
    return records;
}

kernel::result<append_outcome> log_store::append(const record& item)
{
    const auto text = encode_record(item);
    if (text.size() > maximum_input_bytes || item.changes.size() > maximum_changes) {
        return kernel::fail(configuration_event::input_too_large, std::to_string(text.size()) + " bytes");
    }
    const auto inserted = table_.insert(log_table, version_key(item.version), text);
    if (inserted) {
        return append_outcome::appended;
    }
    if (inserted.error().is(platform::platform_event::conflict)) {
        return append_outcome::raced;
    }
    if (inserted.error().is(platform::platform_event::outcome_unknown)) {
        return resolve_lost_append(item);
    }
    return tl::unexpected{inserted.error()};
}

kernel::result<append_outcome> log_store::resolve_lost_append(const record& item)
{
    for (int attempt = 0; attempt < read_back_attempts; ++attempt) {
        const auto found = read(item.version);
        if (found && *found) {
            return (*found)->hash == item.hash ? append_outcome::appended : append_outcome::raced;
        }
    }
    return kernel::fail(configuration_event::publish_outcome_unknown, std::to_string(item.version.value()));
}

kernel::result<std::optional<configuration_set>> log_store::read_newest_snapshot()
{
    const auto pointer = table_.read(log_table, snapshot_pointer);
    if (!pointer) {
        return tl::unexpected{pointer.error()};
    }
    if (!*pointer) {
        return std::optional<configuration_set>{};
    }
    const auto version = version_from_key((*pointer)->value);
    if (!version) {
        return kernel::fail(configuration_event::malformed_input, "snapshot pointer");
    }
    const auto bytes = objects_.get(snapshot_key(*version));
    if (!bytes) {
        return tl::unexpected{bytes.error()};
    }
    if (!*bytes) {
        return kernel::fail(platform::platform_event::not_found, snapshot_key(*version));
    }
    auto set = configuration_set::decode_snapshot(**bytes);
    if (!set) {
        return tl::unexpected{set.error()};
    }
    if (set->version() != *version) {
        return kernel::fail(configuration_event::malformed_input, "snapshot version");
    }
    return std::optional<configuration_set>{std::move(*set)};
}

kernel::result<void> log_store::store_snapshot(const configuration_set& set)
{
    auto stored = objects_.put(snapshot_key(set.version()), set.encode_snapshot());
    // Snapshots of one version are equal, so an existing one serves as well.
    if (!stored && !stored.error().is(platform::platform_event::conflict)) {
        return stored;
    }
    const auto key = version_key(set.version());
    for (int attempt = 0; attempt < pointer_attempts; ++attempt) {
        const auto pointer = table_.read(log_table, snapshot_pointer);
        if (!pointer) {
            return tl::unexpected{pointer.error()};
        }
        if (*pointer && (*pointer)->value >= key) {
            return {};
        }
        const auto written = *pointer ? table_.update(log_table, snapshot_pointer, key, (*pointer)->version)
                                      : table_.insert(log_table, snapshot_pointer, key);
        if (written) {
            return {};
        }
        // The next read shows whether a lost or racing write has moved the pointer far enough.
        if (!written.error().is(platform::platform_event::conflict) &&
            !written.error().is(platform::platform_event::outcome_unknown)) {
            return tl::unexpected{written.error()};
        }
    }
    return kernel::fail(platform::platform_event::conflict, std::string{snapshot_pointer});
}

} // namespace wisterialane::configuration
