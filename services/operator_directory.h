#pragma once

#include "kernel/failure.h"
#include "kernel/identifiers.h"
#include "libraries/http/header_list.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisterialane::services {

/// The operators and the digests of their tokens. Immutable, so it is safe from any thread.
class operator_directory {
public:
    /// Entries have the form `name:sha256hex`, the digest being that of the operator's token. An operator may have
    /// several tokens, so that one can be replaced without a gap. Fails with `invalid_operator_entry`, also where two
    /// operators have the same token, because one could then review the other's proposals.
    static kernel::result<operator_directory> create(const std::vector<std::string>& entries);

    /// The operator whose token the `Authorization: Bearer` header carries. The time taken does not depend on how much
    /// of a digest matches.
    [[nodiscard]] std::optional<kernel::operator_name> authenticate(const http::header_list& headers) const;

private:
    struct entry {
        kernel::operator_name name;
        std::string digest;
    };

    [[nodiscard]] std::optional<kernel::operator_name> find(std::string_view token) const;

    std::vector<entry> entries_;
};

} // namespace wisterialane::services
