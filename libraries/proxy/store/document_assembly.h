#pragma once

#include "libraries/proxy/store/document_part.h"

#include <optional>
#include <string>
#include <vector>

namespace wisterialane::proxy {

/// Puts the parts of the newest configuration document together. Parts may arrive in any order and several times.
class document_assembly {
public:
    struct result {
        /// Whether the part is a new one, which is to be forwarded.
        bool is_new = false;
        /// The document, when its last part has arrived and the digest matches.
        std::optional<std::string> document;
    };

    /// Adds a part. Parts of a version that is not newer than `in_force`, or older than the one that is being put
    /// together, change nothing.
    [[nodiscard]] result add(const document_part& part, kernel::version_number in_force);

private:
    [[nodiscard]] bool belongs(const document_part& part) const;

    kernel::version_number version_;
    std::uint64_t digest_ = 0;
    std::vector<std::optional<std::string>> parts_;
};

} // namespace wisterialane::proxy
