#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/configuration/change.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace wisterialane::configuration {

/// Changes that an operator asks for. The changes never change after the proposal is stored, so that a review covers
/// exactly what is published.
struct proposal {
    kernel::proposal_id id;
    kernel::operator_name author;
    /// The version that the author saw.
    kernel::version_number base_version;
    std::vector<change> changes;
    /// The operators who approved it.
    std::vector<kernel::operator_name> reviewers;
    /// Set some time after the publish; the log is what counts.
    std::optional<kernel::version_number> published_version;

    friend bool operator==(const proposal&, const proposal&) = default;
};

[[nodiscard]] nlohmann::json encode_proposal(const proposal& item);

/// Fails with `malformed_input`.
kernel::result<proposal> decode_proposal(std::string_view text);

} // namespace wisterialane::configuration
