#include "libraries/proxy/store/document_assembly.h"

#include <algorithm>

namespace wisterialane::proxy {

bool document_assembly::belongs(const document_part& part) const
{
    return part.version == version_ && part.digest == digest_ && part.count == parts_.size();
}

document_assembly::result document_assembly::add(const document_part& part, kernel::version_number in_force)
{
    if (part.version <= in_force || part.version < version_ || part.index >= part.count ||
        part.count > maximum_document_parts) {
        return {};
    }
    if (!belongs(part)) {
        // A newer version, or another document of the same one: the latest part decides.
        version_ = part.version;
        digest_ = part.digest;
        parts_.assign(part.count, std::nullopt);
    }
    auto& stored = parts_[part.index];
    if (stored) {
        return {};
    }
    stored = part.bytes;
    result added{true, std::nullopt};
    if (std::all_of(parts_.begin(), parts_.end(), [](const auto& known) { return known.has_value(); })) {
        std::string document;
        for (const auto& known : parts_) {
            document += *known;
        }
        if (digest_of(document) == digest_) {
            added.document = std::move(document);
        }
    }
    return added;
}

} // namespace wisterialane::proxy
