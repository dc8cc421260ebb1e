#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/configuration/change.h"
#include "libraries/configuration/roster.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisterialane::configuration {

/// SHA-256 over the chain of records up to a version, 64 hex digits; empty for version 0.
using chain_hash = kernel::strong_type<struct chain_hash_tag, std::string>;

/// One entry of the append-only configuration log. Immutable once it is in the table.
struct record {
    kernel::version_number version;
    chain_hash previous_hash;
    chain_hash hash;
    kernel::proposal_id proposal;
    kernel::operator_name author;
    std::vector<change> changes;
    /// Set when this record changes the roster.
    std::optional<roster> new_roster;
};

/// Makes the record that follows a version, with its hash.
[[nodiscard]] record make_record(kernel::version_number previous_version, const chain_hash& previous_hash,
                                 kernel::proposal_id proposal, kernel::operator_name author,
                                 std::vector<change> changes, std::optional<roster> new_roster);

/// SHA-256 over the previous hash and the canonical JSON of the record's content.
[[nodiscard]] chain_hash hash_of(const record& item);

/// Canonical JSON of a record, as stored in the table and sent between hosts.
[[nodiscard]] std::string encode_record(const record& item);

/// Fails with `malformed_input`, or with `hash_mismatch` if the hash does not cover the content.
kernel::result<record> decode_record(std::string_view text);

} // namespace wisterialane::configuration
