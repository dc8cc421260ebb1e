#pragma once

#include "kernel/failure.h"
#include "libraries/configuration/change.h"
#include "libraries/configuration/fault.h"
#include "libraries/configuration/objects.h"
#include "libraries/configuration/roster.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

/// JSON forms of objects, changes and the roster. Encoders write canonical JSON (sorted members, no white space), so
/// that equal values have equal text and equal hashes.
namespace wisterialane::configuration {

/// Bounds of what operators send and of one record. A record must fit into one message between hosts (4 MiB) together
/// with that message's other fields.
constexpr std::size_t maximum_input_bytes = 4'000'000;
constexpr std::size_t maximum_input_depth = 8;
constexpr std::size_t maximum_changes = 10'000;

/// Snapshots hold whole sets and come from the platform, not from operators.
constexpr std::size_t maximum_snapshot_bytes = 256U * 1024U * 1024U;

/// Parses JSON after bounding its size and depth. Fails with `input_too_large`, or with `malformed_input`, also where a
/// member occurs twice, because readers differ on which one counts.
kernel::result<nlohmann::json> parse_json(std::string_view text, std::size_t maximum_bytes = maximum_input_bytes);

/// Canonical text of a JSON value.
[[nodiscard]] std::string write_json(const nlohmann::json& value);

template <class T>
using decoded = tl::expected<T, std::vector<fault>>;

[[nodiscard]] nlohmann::json encode_object(const object& item);
[[nodiscard]] nlohmann::json encode_change(const change& item);
[[nodiscard]] nlohmann::json encode_changes(const std::vector<change>& changes);
[[nodiscard]] nlohmann::json encode_roster(const roster& hosts);
[[nodiscard]] nlohmann::json encode_fault(const fault& item);

/// Decoders report all unknown fields, missing fields, wrong types and numbers that their field cannot hold. Whether
/// the values are valid otherwise is for `validate` and `configuration_set::check`.
[[nodiscard]] decoded<object> decode_object(const nlohmann::json& value);

/// Also fails with `input_too_large` above `maximum_changes`.
[[nodiscard]] decoded<std::vector<change>> decode_changes(const nlohmann::json& value);

/// Fails with `malformed_input`, also unless the entries are sorted by instance id without duplicates.
kernel::result<roster> decode_roster(const nlohmann::json& value);

} // namespace wisterialane::configuration
