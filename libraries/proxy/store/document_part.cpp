#include "libraries/proxy/store/document_part.h"

#include <xxhash.h>

namespace wisterialane::proxy {

std::uint64_t digest_of(std::string_view document)
{
    return ::XXH64(document.data(), document.size(), 0);
}

std::vector<document_part> split_document(const kernel::host_name& source, kernel::version_number version,
                                          std::string_view document)
{
    const auto count = (document.size() + maximum_part_bytes - 1) / maximum_part_bytes;
    std::vector<document_part> parts;
    if (count > maximum_document_parts) {
        return parts;
    }
    const auto digest = digest_of(document);
    for (std::size_t index = 0; index < count; ++index) {
        const auto bytes = document.substr(index * maximum_part_bytes, maximum_part_bytes);
        parts.push_back({source, version, digest, index, count, std::string{bytes}});
    }
    return parts;
}

} // namespace wisterialane::proxy
